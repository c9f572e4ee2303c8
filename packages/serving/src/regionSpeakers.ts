/**
 * Which VMs of a region exchange reports with other regions. Every VM works
 * them out from the VMs that it hears; while views differ there are a few
 * more or fewer of them for a moment, which does no harm.
 */

import type { PeerIdentity } from './peerTable.js'

/** One can fail without a gap in the reports. */
export const speakersPerRegion = 2

const byName = ({ vm: first }: PeerIdentity, { vm: second }: PeerIdentity): number => first < second ? -1 : first > second ? 1 : 0

/** The first VMs by name, each of another failure domain as far as there are enough. */
export const chooseSpeakers = (vms: readonly PeerIdentity[]): readonly PeerIdentity[] => {
  const sorted = [...vms].sort(byName)
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
