/**
 * Chooses the speakers of a region: the VMs that exchange reports with other
 * regions. Every VM computes them from the VMs that it hears. While views
 * differ, there are briefly a few more or fewer speakers, which is harmless.
 */

import { rankVms } from './vmRank.js'
import type { PeerIdentity } from './peerTable.js'

/** With two speakers, one can fail without a gap in the reports. */
export const speakersPerRegion = 2

/** The first VMs by rank, from different failure domains if there are enough. */
export const chooseSpeakers = (vms: readonly PeerIdentity[]): readonly PeerIdentity[] => {
  const sorted = rankVms(vms)
  const chosen: PeerIdentity[] = []
  const domains = new Set<PeerIdentity['failureDomain']>()
  for (const vm of sorted) {
    if (chosen.length >= speakersPerRegion || domains.has(vm.failureDomain)) continue
    domains.add(vm.failureDomain)
    chosen.push(vm)
  }
  for (const vm of sorted) {
    if (chosen.length >= speakersPerRegion) break
    if (!chosen.includes(vm)) chosen.push(vm)
  }
  return chosen
}
