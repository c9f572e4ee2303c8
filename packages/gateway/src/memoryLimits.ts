/**
 * Parts of a VM's memory that may be held for its callers.
 */

import type { GatewaySettings } from './types.js'

/** Memory of a VM whose settings name none. */
const assumedMemoryBytes = 268_435_456
/** For parts of answers that can't be passed on yet. */
const answerPartShare = 0.1
/** For callers, their requests and the answers that they don't read. */
const callerShare = 0.2

export interface MemoryLimits {
  readonly answerPartBytes: number
  readonly callerBytes: number
}

export const memoryLimitsOf = ({ memoryBytes = assumedMemoryBytes }: GatewaySettings): MemoryLimits => ({
  answerPartBytes: memoryBytes * answerPartShare,
  callerBytes: memoryBytes * callerShare
})
