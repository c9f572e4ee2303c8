import { createServer } from 'node:http'
import { ManualClock, SeededRandom, toFailureDomainId, toIncarnationId, toRegionId, toUpstreamId, toVmId } from '@cuminvale/common'
import { ServingConfiguration } from '@cuminvale/serving'
import { afterEach, describe, expect, it } from 'vitest'
import { GatewayMetrics } from './gatewayMetrics.js'
import { GatewayPeerLinks } from './gatewayPeerLinks.js'
import { GatewayState } from './gatewayState.js'
import { TestDecoder, listen, silentLog, testCodec, testDocument, testSettings, testTeam } from './testSupport.js'
import type { PeerIdentity, PromptPartId } from '@cuminvale/serving'
import type { Server } from 'node:http'

interface TestVm {
  readonly identity: PeerIdentity
  readonly state: GatewayState
  readonly links: GatewayPeerLinks
  readonly server: Server
  isStopped: boolean
}

const stepMilliseconds = 200
/** Real time for the messages of a step to arrive; a pause that is too short only makes more steps necessary. */
const stepPauseMilliseconds = 20
const maximumSteps = 600

let testVms: TestVm[] = []
let clock = new ManualClock()

const stop = (node: TestVm): void => {
  node.isStopped = true
  node.links.close()
  node.server.close()
  node.server.closeAllConnections()
}

afterEach(() => {
  testVms.filter(({ isStopped }) => !isStopped).forEach(stop)
})

const startVm = async (regionName: string, index: number, seeds: readonly string[]): Promise<TestVm> => {
  const server = createServer((_request, response) => response.writeHead(404).end())
  const port = await listen(server)
  const name = `${regionName}-${index}`
  const region = toRegionId(regionName)
  const failureDomain = toFailureDomainId(`${regionName}-${index % 2}`)
  const settings = { ...testSettings, vm: toVmId(name), region, failureDomain, linkPort: port, seeds }
  const identity: PeerIdentity = {
    vm: settings.vm, incarnation: toIncarnationId(`i-${name}`), region, failureDomain, linkAddress: `127.0.0.1:${port}`, callerAddress: `127.0.0.1:${port + 1}`
  }
  const metrics = new GatewayMetrics()
  const state = new GatewayState({
    settings, self: identity, clock, random: new SeededRandom(index), codec: testCodec, decoder: new TestDecoder(), log: silentLog, metrics
  })
  const links = new GatewayPeerLinks({ state, self: identity, server, isSourceLost: () => false, onRecordsAdopted: () => { /* no records are sent */ } })
  return { identity, state, links, server, isStopped: false }
}

const startFleet = async (): Promise<void> => {
  clock = new ManualClock()
  const first = await startVm('north', 0, [])
  const seeds = [first.identity.linkAddress]
  const rest = [['north', 1], ['north', 2], ['south', 0], ['south', 1], ['south', 2]] as const
  testVms = [first, ...await Promise.all(rest.map(async ([region, index]) => await startVm(region, index, seeds)))]
}

const step = async (): Promise<void> => {
  clock.advance(stepMilliseconds)
  for (const node of testVms) {
    if (!node.isStopped) node.links.tick()
  }
  await new Promise((resolve) => setTimeout(resolve, stepPauseMilliseconds))
}

const stepUntil = async (condition: () => boolean): Promise<boolean> => {
  for (let steps = 0; steps < maximumSteps; steps += 1) {
    if (condition()) return true
    await step()
  }
  return condition()
}

const running = (): readonly TestVm[] => testVms.filter(({ isStopped }) => !isStopped)

const allHear = (count: number): boolean => running().every(({ state }) => state.peers.heardPeers({ readyOnly: false }).length === count)

const vmNamed = (name: string): TestVm => {
  const node = testVms.find(({ identity }) => identity.vm === name)
  if (node === undefined) throw new Error(`no VM named ${name}`)
  return node
}

describe('GatewayPeerLinks', () => {
  it('lets all VMs discover each other from one seed', async () => {
    await startFleet()
    expect(await stepUntil(() => allHear(5))).toBe(true)
  })

  it('keeps hearing another region after one of its speakers is gone', async () => {
    await startFleet()
    await stepUntil(() => allHear(5))
    stop(vmNamed('south-0'))
    expect(await stepUntil(() => allHear(4))).toBe(true)
    for (let steps = 0; steps < 20; steps += 1) await step()
    expect(await stepUntil(() => allHear(4))).toBe(true)
    expect(vmNamed('north-2').state.peers.known.map(({ vm }) => vm)).toContain('south-0')
  })

  it('lets a VM that joins by another seed discover all others after the first seed is gone', async () => {
    await startFleet()
    await stepUntil(() => allHear(5))
    stop(vmNamed('north-0'))
    await stepUntil(() => allHear(4))
    testVms.push(await startVm('north', 3, [vmNamed('south-2').identity.linkAddress]))
    expect(await stepUntil(() => allHear(5))).toBe(true)
  })

  it('forgets a VM that announced that it leaves, also in other regions', async () => {
    await startFleet()
    await stepUntil(() => allHear(5))
    const leaver = vmNamed('south-2')
    leaver.links.leave()
    await step()
    stop(leaver)
    expect(await stepUntil(() => running().every(({ state }) => state.peers.known.every(({ vm }) => vm !== 'south-2')))).toBe(true)
  })

  it('charges the spending of one VM to the buckets of all others', async () => {
    await startFleet()
    await stepUntil(() => allHear(5))
    const plan = testTeam({ ratePerSecond: 1_000, burst: 1_000 })
    for (const { state } of running()) state.rateLimiter.trySpend(plan, 1)
    for (let steps = 0; steps < 10; steps += 1) await step()
    vmNamed('south-2').state.rateLimiter.trySpend(plan, 10_000_000)
    expect(await stepUntil(() => running().every(({ state }) => !state.rateLimiter.trySpend(plan, 0)))).toBe(true)
  })

  it('reports to a region which prompt parts the other one has read', async () => {
    await startFleet()
    await stepUntil(() => allHear(5))
    const part = 'p1' as PromptPartId
    vmNamed('south-0').state.recordNeighbourParts(toUpstreamId('u1'), [part])
    expect(await stepUntil(() => vmNamed('north-2').state.forecasts.holdsPart(toRegionId('south'), part))).toBe(true)
  })

  it('sends a VM that starts the prompt parts that upstreams have read, before it knows the upstreams', async () => {
    await startFleet()
    await stepUntil(() => allHear(5))
    const part = 'p2' as PromptPartId
    for (const { identity, state } of testVms) {
      if (identity.region === toRegionId('north')) state.recordNeighbourParts(toUpstreamId('u2'), [part])
    }
    testVms.push(await startVm('north', 4, [vmNamed('north-0').identity.linkAddress]))
    expect(await stepUntil(() => vmNamed('north-4').state.partsByUpstream.some(([upstream, ids]) => upstream === 'u2' && ids.includes(part)))).toBe(true)
  })

  it('reports at once that a VM takes no more requests, also if heartbeats are rare', async () => {
    clock = new ManualClock()
    const first = await startVm('north', 0, [])
    const rest = await Promise.all(Array.from({ length: 10 }, async (_, index) => await startVm('north', index + 1, [first.identity.linkAddress])))
    testVms = [first, ...rest]
    expect(await stepUntil(() => allHear(10))).toBe(true)
    const leaver = vmNamed('north-5')
    const others = (): readonly TestVm[] => testVms.filter((node) => node !== leaver)
    const areTold = (): boolean => others().every(({ state }) => state.peers.heardNeighbours.every(({ identity, isReady }) => identity.vm !== 'north-5' || !isReady))
    expect(leaver.state.ticksPerHeartbeat).toBe(2)
    leaver.state.configuration = new ServingConfiguration(testDocument([]))
    expect(await stepUntil(() => !areTold())).toBe(true)
    leaver.state.isLeaving = true
    leaver.links.tick({ isUrgent: true })
    for (let waits = 0; waits < maximumSteps && !areTold(); waits += 1) await new Promise((resolve) => setTimeout(resolve, stepPauseMilliseconds))
    expect(areTold()).toBe(true)
  })
})
