/**
 * Asks a VM that feeds this one to confirm the records, so that VMs which are fed
 * needn't read the source themselves. The VM that feeds answers with the changes
 * that this VM lacks and the position up to which they are complete.
 */

import { feederConfirmationMilliseconds } from './constants.js'
import { packMessage } from './linkMessages.js'
import type { PublishedRecords } from '@cuminvale/serving'
import type { ConfirmationMessage, ConfirmationRequestMessage } from './linkMessages.js'

type Send = (message: Buffer) => void

export interface FeederConfirmationsOptions {
  readonly records: Pick<PublishedRecords, 'at'>
  /** The ways to VMs that feed this one, the preferred first. */
  readonly feeders: () => readonly Send[]
  /** Whether this VM reads the source. */
  readonly isReader: () => boolean
  /** Confirms the records of this VM up to now. */
  readonly confirm: () => Promise<boolean>
  /** The changes after a position that this VM knows, for another VM. */
  readonly changesAfter: (position: number) => Buffer
}

export class FeederConfirmations {
  private requestCount = 0
  private readonly requests = new Map<number, (isConfirmed: boolean) => void>()

  constructor (private readonly options: FeederConfirmationsOptions) {}

  /** False if no VM that feeds this one confirms its records in time. */
  async request (): Promise<boolean> {
    const [send] = this.options.feeders()
    if (send === undefined) return false
    this.requestCount += 1
    const request = this.requestCount
    return await new Promise((resolve) => {
      const settle = (isConfirmed: boolean): void => {
        clearTimeout(timer)
        this.requests.delete(request)
        resolve(isConfirmed)
      }
      // VMs of an earlier build don't answer.
      const timer = setTimeout(() => settle(false), feederConfirmationMilliseconds)
      this.requests.set(request, settle)
      send(packMessage({ kind: 'confirmation-request', request, after: this.options.records.at }))
    })
  }

  /** Called after the changes were applied that were sent before it. */
  receive ({ request, at }: ConfirmationMessage): void {
    this.requests.get(request)?.(typeof at === 'number' && this.options.records.at >= at)
  }

  async answer ({ request, after }: ConfirmationRequestMessage, send: Send): Promise<void> {
    const { records, isReader, confirm, changesAfter } = this.options
    const isConfirmed = isReader() && await confirm()
    if (isConfirmed && records.at > after) send(changesAfter(after))
    send(packMessage({ kind: 'confirmation', request, ...isConfirmed ? { at: records.at } : {} }))
  }
}
