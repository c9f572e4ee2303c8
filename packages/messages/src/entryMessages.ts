/**
 * Load of the VMs, for the answer to callers which of them to use.
 */

export interface EntryLoad {
  readonly kind: 'entries.load'
  /** Fraction of the sender's capacity in use, 0 when idle. */
  readonly load: number
}

export type EntryMessage = EntryLoad
