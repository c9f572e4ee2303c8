/**
 * How often a VM reads the VM list. The list grows with the fleet, so a large
 * one is read less often; failures are detected directly in the meantime.
 */

import type { Random } from '@cuminvale/common'
import { vmListPollMilliseconds } from './constants.js'

const listedVmBytes = 200
const listBytesPerSecond = 4_000
const millisecondsPerSecond = 1_000
const jitterShare = 0.2

/** Milliseconds until the next read of a list of this many VMs; 0 where every poll may read it. */
export const vmListPause = (vms: number, random: Random): number => {
  const paced = vms * listedVmBytes / listBytesPerSecond * millisecondsPerSecond
  return paced <= vmListPollMilliseconds ? 0 : paced * (1 + jitterShare * (random.next() - 0.5))
}
