/**
 * Paces the reads of the VM list. The list grows with the fleet, so a large one is read less often.
 * Between reads, failures of VMs are detected directly.
 */

import type { Random } from '@cuminvale/common'
import { vmListPollIntervalMilliseconds } from './constants.js'

const bytesPerListedVm = 200
const maximumListBytesPerSecond = 4_000
const millisecondsPerSecond = 1_000
const jitterShare = 0.2

/** Milliseconds until the next read of a list of `vms` VMs; 0 if every poll may read it. */
export const vmListPauseMilliseconds = (vms: number, random: Random): number => {
  const pauseMilliseconds = vms * bytesPerListedVm / maximumListBytesPerSecond * millisecondsPerSecond
  return pauseMilliseconds <= vmListPollIntervalMilliseconds ? 0 : pauseMilliseconds * (1 + jitterShare * (random.next() - 0.5))
}
