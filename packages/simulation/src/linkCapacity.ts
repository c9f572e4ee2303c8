/**
 * Capacity probes of the peer links and of the VM list. The first counts the
 * heartbeats of the VM whose watch plan has the most links. The second measures
 * the reads of the VM list.
 */

import { RegionTopology } from '@cuminvale/membership'
import type { ListedVm } from '@cuminvale/common'
import { bytesOnWire, extrapolateCapacityRow, measureHeap, measureProcessorMicroseconds } from './capacityTools.js'
import { listingsOf } from './membershipFleet.js'
import { regionSizesFor, target } from './target.js'
import type { CapacityProbe, CapacitySample } from './capacityProbe.js'

const vmCounts = [37, 111, 222, 370] as const
const heartbeatsPerSecond = 1
const listBytesPerSecond = 4_000
const repetitions = 20

const mostLinks = (listings: readonly ListedVm[]): number =>
  Math.max(...listings.map((self) => new RegionTopology().plan(self, listings, () => true).linkTargets.size))

const heartbeatSample = (vms: number): CapacitySample => {
  const listings = listingsOf(regionSizesFor(vms))
  return {
    dimension: 'vms',
    size: vms,
    stateBytes: 0,
    bytesPerSecond: mostLinks(listings) * heartbeatsPerSecond * bytesOnWire(0),
    processorMicrosecondsPerSecond: 0
  }
}

/**
 * Cost of reading the VM list: parsing it and computing a watch plan. A longer
 * list is read less often, and at most twice a second.
 */
const listSample = (vms: number): CapacitySample => {
  const listings = listingsOf(regionSizesFor(vms))
  const text = JSON.stringify({ vms: listings })
  const self = listings.at(-1) as ListedVm
  const readsPerSecond = listBytesPerSecond / text.length
  const readOnce = () => {
    const parsed = JSON.parse(text) as { readonly vms: readonly ListedVm[] }
    return new RegionTopology().plan(self, parsed.vms, () => true)
  }
  const microseconds = measureProcessorMicroseconds(() => {
    for (let index = 0; index < repetitions; index += 1) readOnce()
  }) / repetitions
  return {
    dimension: 'vms',
    size: vms,
    stateBytes: measureHeap(() => JSON.parse(text) as unknown).bytes,
    bytesPerSecond: Math.min(listBytesPerSecond, text.length * 2),
    processorMicrosecondsPerSecond: microseconds * Math.min(2, readsPerSecond)
  }
}

interface ProbeOptions {
  readonly mechanism: string
  readonly carriedBy: string
  readonly sample: (vms: number) => CapacitySample
}

/** The first sample is discarded because it includes the time of just-in-time compilation. */
const createProbe = ({ mechanism, carriedBy, sample }: ProbeOptions): CapacityProbe => ({
  mechanism,
  measure: () => extrapolateCapacityRow({ mechanism, carriedBy, samples: [vmCounts[0], ...vmCounts].map(sample).slice(1), size: target.vms })
})

export const heartbeatCapacity = createProbe({
  mechanism: 'link-heartbeats', carriedBy: 'the most linked VM: one empty frame a second on each link', sample: heartbeatSample
})

export const vmListCapacity = createProbe({
  mechanism: 'vm-list', carriedBy: 'every VM: reads of the list, paced by its length', sample: listSample
})
