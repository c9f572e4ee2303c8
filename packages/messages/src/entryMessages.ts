/**
 * Load reports between VMs, used to choose the VMs that callers connect to.
 */

export interface EntryLoad {
  readonly kind: 'entries.load'
  /** Fraction of the sender's capacity in use; 0 when idle. */
  readonly load: number
}

export type EntryMessage = EntryLoad
