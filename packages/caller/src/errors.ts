/**
 * Errors of the client library.
 */

import type { Outcome } from '@cuminvale/common'

export class CallError extends Error {
  constructor (readonly outcome: Outcome, detail: string) {
    super(detail)
    this.name = 'CallError'
  }
}
