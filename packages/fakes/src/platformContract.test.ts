import { afterEach, describe, expect, it } from 'vitest'
import { Maybe } from 'true-myth'
import { ManualClock, toFailureDomainId, toModelName, toRegionId, toRevision, toVmId } from '@cuminvale/common'
import { documentNames } from '@cuminvale/documents'
import { HttpClientDirectory, HttpConfigurationService, HttpLoadSource, HttpVmList, HttpWeightStore } from '@cuminvale/services'
import type { ListedVm } from '@cuminvale/common'
import type { DocumentTexts } from '@cuminvale/documents'
import { FakeClientDirectory } from './fakeClientDirectory.js'
import { FakeConfigurationService } from './fakeConfigurationService.js'
import { FakeService } from './fakeService.js'
import { FakeVmList } from './fakeVmList.js'
import { FakeWeightStore } from './fakeWeightStore.js'
import type { LoopbackHttpServer } from './loopbackHttpServer.js'

const startedServers: LoopbackHttpServer[] = []

afterEach(async () => {
  await Promise.all(startedServers.splice(0).map(async (server) => await server.stop()))
})

const startServer = async (server: LoopbackHttpServer): Promise<string> => {
  await server.start()
  startedServers.push(server)
  return server.address
}

/** Each contract runs against the fake itself, and through the HTTP adapter against the fake's server. */
const transports = ['in memory', 'over HTTP'] as const
type Transport = typeof transports[number]

const texts: DocumentTexts = { teams: 't1', plans: 'p1', keys: 'k1', routes: 'r1', upstreams: 'u1' }

const startConfiguration = async (transport: Transport) => {
  const fake = new FakeConfigurationService(texts)
  return { fake, service: transport === 'in memory' ? fake : new HttpConfigurationService(await startServer(fake.server)) }
}

const waitForPendingWatch = async (fake: FakeConfigurationService): Promise<void> => {
  while (fake.pendingWatchCount === 0) await new Promise((resolve) => setTimeout(resolve, 1))
}

const longWatchMilliseconds = 10_000

describe.each(transports)('the configuration service %s', (transport) => {
  it('reads all documents, under the highest revision among them', async () => {
    const { fake, service } = await startConfiguration(transport)
    fake.publish({ plans: 'p2' })
    const read = await service.read()
    expect(read.unwrapOr(undefined)).toEqual({ revision: 2, texts: { ...texts, plans: 'p2' } })
  })

  it('answers a watch at once if a newer revision exists, otherwise when one is published', async () => {
    const { fake, service } = await startConfiguration(transport)
    expect((await service.watch(toRevision(0), longWatchMilliseconds)).unwrapOr(toRevision(-1))).toBe(1)
    const pending = service.watch(toRevision(1), longWatchMilliseconds)
    await waitForPendingWatch(fake)
    fake.publish({ plans: 'p2' })
    expect((await pending).unwrapOr(toRevision(-1))).toBe(2)
  })

  it('answers a watch with the unchanged revision when its timeout expires', async () => {
    const { service } = await startConfiguration(transport)
    expect((await service.watch(toRevision(1), 5)).unwrapOr(toRevision(-1))).toBe(1)
  })

  it('counts one call per value read and one per watch', async () => {
    const { fake, service } = await startConfiguration(transport)
    await service.read()
    const pending = service.watch(toRevision(1), longWatchMilliseconds)
    await waitForPendingWatch(fake)
    expect(fake.calls).toBe(documentNames.length + 1)
    fake.setDown(true)
    await pending
  })

  it('fails every call while it is down, and every watch that was waiting', async () => {
    const { fake, service } = await startConfiguration(transport)
    const pending = service.watch(toRevision(1), longWatchMilliseconds)
    await waitForPendingWatch(fake)
    fake.setDown(true)
    expect((await pending).isErr).toBe(true)
    expect((await service.read()).isErr).toBe(true)
    fake.setDown(false)
    expect((await service.read()).isOk).toBe(true)
  })

  it('serves outdated documents while it is stale', async () => {
    const { fake, service } = await startConfiguration(transport)
    fake.setStale(true)
    fake.publish({ plans: 'p2' })
    expect((await service.read()).unwrapOr(undefined)?.texts.plans).toBe('p1')
    expect((await service.watch(toRevision(1), 5)).unwrapOr(toRevision(-1))).toBe(1)
    fake.setStale(false)
    expect((await service.read()).unwrapOr(undefined)?.texts.plans).toBe('p2')
  })

  it('rejects a value over a megabyte', async () => {
    const { fake, service } = await startConfiguration(transport)
    expect(() => fake.publish({ plans: 'x'.repeat(1_048_577) })).toThrow('over a megabyte')
    expect((await service.read()).unwrapOr(undefined)?.revision).toBe(1)
  })
})

const vm: ListedVm = {
  name: toVmId('gateway-1'),
  region: toRegionId('veneto'),
  failureDomain: toFailureDomainId('veneto-fd1'),
  host: '127.0.0.1',
  callerPort: 1,
  peerPort: 2,
  administrationPort: 3,
  state: 'live'
}

describe.each(transports)('the VM list %s', (transport) => {
  it('shows each change after the lag', async () => {
    const clock = new ManualClock(0)
    const fake = new FakeVmList(100, clock)
    const list = transport === 'in memory' ? fake : new HttpVmList(await startServer(fake.server))
    fake.set([vm])
    clock.now = 99
    expect((await list.list()).unwrapOr([vm])).toEqual([])
    clock.now = 100
    fake.set([{ ...vm, state: 'leaving' }])
    expect((await list.list()).unwrapOr([])).toEqual([vm])
    clock.now = 200
    expect((await list.list()).unwrapOr([]).map(({ state }) => state)).toEqual(['leaving'])
  })
})

describe.each(transports)('the weight store %s', (transport) => {
  it('describes the weights of known models, and refuses unknown models and calls above its rate', async () => {
    const clock = new ManualClock(0)
    const weights = { model: toModelName('writer'), version: '1', bytes: 8, region: toRegionId('lombardia'), rateBytesPerSecond: 4 }
    const fake = new FakeWeightStore([weights], 2, clock)
    const store = transport === 'in memory' ? fake : new HttpWeightStore(await startServer(fake.server))
    expect((await store.describe(toModelName('writer'))).unwrapOr(undefined)).toEqual(weights)
    expect((await store.describe(toModelName('other'))).isErr).toBe(true)
    expect((await store.describe(toModelName('writer'))).isErr).toBe(true)
    clock.now = 1_000
    expect((await store.describe(toModelName('writer'))).isOk).toBe(true)
  })
})

describe.each(transports)('the client directory %s', (transport) => {
  it('returns the region of a known address, and nothing for an unknown one', async () => {
    const fake = new FakeClientDirectory()
    const directory = transport === 'in memory' ? fake : new HttpClientDirectory(await startServer(fake.server))
    fake.set('2001:db8::1', toRegionId('emilia'))
    expect((await directory.regionOf('2001:db8::1')).unwrapOr(Maybe.nothing())).toEqual(Maybe.just('emilia'))
    expect((await directory.regionOf('10.0.0.1')).unwrapOr(Maybe.just(toRegionId('x')))).toEqual(Maybe.nothing())
  })
})

describe('a plain service over HTTP', () => {
  it('reports whether it is leaving', async () => {
    const fake = new FakeService()
    const source = new HttpLoadSource(await startServer(fake.server))
    fake.leaving = true
    expect((await source.load()).unwrapOr(undefined)).toEqual({ running: 0, queued: 0, ageMilliseconds: 0, leaving: true })
  })
})

describe('an adapter', () => {
  it('returns an error if the platform is unreachable', async () => {
    const fake = new FakeVmList()
    const address = await startServer(fake.server)
    await fake.server.stop()
    expect((await new HttpVmList(address).list()).isErr).toBe(true)
  })
})
