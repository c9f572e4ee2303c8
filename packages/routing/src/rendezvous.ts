/**
 * Rendezvous hashing: VMs with the same list of VMs compute the same owner for
 * a key, and the loss of a VM moves only the keys that it owned.
 */

import type { VmId } from '@cuminvale/common'

const fnvOffset = 0x811C9DC5
const fnvPrime = 0x01000193

const hashText = (text: string): number => {
  let hash = fnvOffset
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85EBCA6B)
  return (hash ^ (hash >>> 13)) >>> 0
}

export const ownerOf = (key: string, vms: readonly VmId[]): VmId | undefined => {
  let owner: VmId | undefined
  let highest = -1
  for (const vm of vms) {
    const score = hashText(`${key} ${vm}`)
    if (score < highest || (score === highest && owner !== undefined && vm > owner)) continue
    owner = vm
    highest = score
  }
  return owner
}

/** Caches owners until the list of VMs changes. */
export class RendezvousOwnerCache {
  private readonly owners = new Map<string, VmId | undefined>()
  private vms = ''

  owner (key: string, vms: readonly VmId[]): VmId | undefined {
    const names = vms.join()
    if (names !== this.vms) this.owners.clear()
    this.vms = names
    const cached = this.owners.get(key)
    if (cached !== undefined) return cached
    const owner = ownerOf(key, vms)
    this.owners.set(key, owner)
    return owner
  }
}
