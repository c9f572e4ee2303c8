import { toFailureDomainId, toIncarnationId, toVmId } from '@cuminvale/common'
import { describe, expect, it } from 'vitest'
import { chooseSpeakers } from './regionSpeakers.js'
import { north } from './testSupport.js'
import type { PeerIdentity } from './peerTable.js'

const identity = (name: string, domain: string): PeerIdentity => ({
  vm: toVmId(name), incarnation: toIncarnationId('i'), region: north, failureDomain: toFailureDomainId(domain), linkAddress: `${name}:1`, callerAddress: `${name}:2`
})

const namesOf = (vms: readonly PeerIdentity[]): readonly string[] => chooseSpeakers(vms).map(({ vm }) => vm)

describe('chooseSpeakers', () => {
  it('takes one VM of each of two failure domains, whatever the order', () => {
    const vms = [identity('a2', 'a'), identity('b1', 'b'), identity('a1', 'a'), identity('b2', 'b')]
    expect(namesOf(vms)).toEqual(['a1', 'b1'])
    expect(namesOf([...vms].reverse())).toEqual(['a1', 'b1'])
  })

  it('takes two of one failure domain where there is no other', () => {
    expect(namesOf([identity('a3', 'a'), identity('a1', 'a'), identity('a2', 'a')])).toEqual(['a1', 'a2'])
  })

  it('takes what there is', () => {
    expect(namesOf([identity('a1', 'a')])).toEqual(['a1'])
    expect(namesOf([])).toEqual([])
  })
})
