import { describe, expect, it } from 'vitest'
import { toFailureDomainId, toIncarnationId, toRegionId, toRevision, toRouteName, toUpstreamId, toVmId } from '@cuminvale/common'
import { LoadReportExchange } from './loadReportExchange.js'
import { RegionDigests } from './regionDigests.js'
import { UpstreamTable } from './upstreamTable.js'
import type { Configuration } from '@cuminvale/documents'
import type { RegionPeer } from './loadReportExchange.js'

const veneto = toRegionId('veneto')
const emilia = toRegionId('emilia')
const route = toRouteName('drafting')
const vms: readonly RegionPeer[] = ['v-1', 'v-2', 'v-3', 'e-1', 'e-2'].map((name) => ({
  vm: toVmId(name), region: name.startsWith('v') ? veneto : emilia
}))

const configuration: Configuration = {
  revision: toRevision(1),
  teams: new Map(),
  plans: new Map(),
  keys: new Map(),
  routes: new Map([[route, { name: route } as never]]),
  upstreams: new Map(Array.from({ length: 12 }, (_, index) => [toUpstreamId(`u-${index}`), {
    name: toUpstreamId(`u-${index}`),
    region: veneto,
    failureDomain: toFailureDomainId('fd-1'),
    address: 'http://127.0.0.1:1',
    routes: [route],
    models: [],
    slots: 10,
    checksFencing: false,
    leaving: false
  }]))
}

const fixture = (reachable = vms) => {
  const clock = { now: 0, monotonic: () => clock.now, wall: () => clock.now }
  const members = vms.map((self) => {
    const table = new UpstreamTable(clock)
    table.configure(configuration)
    const digests = new RegionDigests({ clock, vmCount: () => 2 })
    const peers = () => reachable.filter(({ vm }) => vm !== self.vm)
    const sharing = new LoadReportExchange({ clock, ...self, table, digests, configuration: () => configuration, peers })
    return { ...self, table, digests, sharing }
  })
  const exchange = () => members.forEach(({ vm, region, sharing }) => {
    const from = { vm, region, incarnation: toIncarnationId('i'), failureDomain: toFailureDomainId('fd-1') }
    for (const { to, message } of sharing.tick()) {
      members.find((member) => member.vm === to)?.sharing.receive(from, message as never)
    }
  })
  const poll = (running: number) => members.forEach(({ sharing }) => sharing.upstreamsToPoll()
    .forEach(({ name }) => sharing.recordPolledLoad(name, { running, queued: 0, ageMilliseconds: 0, leaving: false })))
  const ownPolls = () => members.filter(({ region }) => region === veneto)
    .flatMap(({ sharing }) => sharing.upstreamsToPoll().map(({ name }) => name))
  return { clock, members, exchange, poll, ownPolls }
}

describe('LoadReportExchange', () => {
  it('polls each upstream from one VM of its region, and reports its load to every VM of the region', () => {
    const { clock, members, exchange, poll, ownPolls } = fixture()
    poll(0)
    exchange()
    expect(ownPolls().toSorted()).toEqual([...configuration.upstreams.keys()].toSorted())
    clock.now += 1_000
    poll(7)
    exchange()
    for (const { table, region } of members.filter((member) => member.region === veneto)) {
      expect(table.servingViews(region, { route }).map(({ occupancy }) => occupancy)).toEqual(Array.from({ length: 12 }, () => 7))
    }
  })

  it('polls an upstream whose assigned VM is silent', () => {
    const { clock, ownPolls, poll } = fixture()
    poll(0)
    clock.now += 10_000
    expect(ownPolls().length).toBeGreaterThan(configuration.upstreams.size)
  })

  it('reports free slots to the other region, where each VM subtracts the requests it forwards', () => {
    const { clock, members, exchange, poll } = fixture()
    poll(5)
    for (let tick = 0; tick < 4; tick += 1) exchange()
    const remote = members.find(({ vm }) => vm === 'e-1')
    expect(remote?.digests.freeSlots(veneto, { route })).toBe(30)
    remote?.digests.sent(veneto, { route })
    expect(remote?.digests.freeSlots(veneto, { route })).toBe(29)
    clock.now += 10_000
    expect(remote?.digests.freeSlots(veneto, { route })).toBe(0)
  })
})
