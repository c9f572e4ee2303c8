import { describe, expect, it } from 'vitest'
import { VersionFleet, otherService } from './versionTestSupport.js'
import { wait } from './testSupport.js'
import type { StreamAnswer, VersionFleetOptions, VersionedUpstream } from './versionTestSupport.js'

const streamCount = 16
/** Of the route; twice as much is the time that a stream may last. */
const timeoutMilliseconds = 1_000
/** Beyond the time that a stream may last, the age that records may have, and the silence at a step of the clock. */
const provenMilliseconds = 18_000

const startFleet = async (options: VersionFleetOptions, onTestFinished: (stop: () => void) => void): Promise<VersionFleet> => {
  const fleet = new VersionFleet({ ...options, route: { timeoutMilliseconds, ...options.route } })
  onTestFinished(() => fleet.stop())
  await fleet.start()
  return fleet
}

const beginAll = async (fleet: VersionFleet, name: string): Promise<readonly string[]> =>
  await Promise.all(Array.from({ length: streamCount }, async (_, index) => await fleet.begin(index % 4, `${name}${index}`)))

/** Takes streams up at other VMs than those that began them; every second caller doesn't name the attempt if `namesAll` is false. */
const resumeAll = async (fleet: VersionFleet, name: string, { namesAll }: { readonly namesAll: boolean }): Promise<readonly StreamAnswer[]> =>
  await Promise.all(Array.from({ length: streamCount }, async (_, index) => await fleet.call({
    vm: (index + 1) % 4, attempt: `${name}-again${index}`, after: 3, ...namesAll || index % 2 === 0 ? { resumes: `${name}${index}` } : {}
  })))

const joinedOf = (begun: readonly string[], resumed: readonly StreamAnswer[]): readonly StreamAnswer[] =>
  resumed.filter(({ versions }, index) => versions.some((version) => version !== begun[index]))

const versionOf = (fleet: VersionFleet, version: string): readonly VersionedUpstream[] => fleet.upstreams.filter((upstream) => upstream.version === version)

describe.concurrent('a stream of two software versions after all VMs were killed at once and are back', () => {
  // Guards against streams of the old version that are joined with output of the new one, the only one that the records of the new VMs show.
  it.each(['before', 'during', 'after'])('is never joined if the old version is gone %s', async (goneWhen) => {
    const stops: Array<() => void> = []
    try {
      const fleet = await startFleet({ versions: ['v1', 'v1.1'] }, (stop) => stops.push(stop))
      const begun = await beginAll(fleet, 'a')
      expect(new Set(begun).size).toBe(2)
      const remaining = versionOf(fleet, 'v1.1')
      const endOld = (): void => versionOf(fleet, 'v1').forEach(({ server }) => {
        server.close()
        server.closeAllConnections()
      })
      if (goneWhen === 'before') {
        endOld()
        fleet.publish(remaining.map(({ announced }) => announced))
      }
      fleet.gateways.forEach((_gateway, index) => fleet.killVm(index))
      if (goneWhen === 'during') endOld()
      await fleet.restartVms(goneWhen === 'after' ? fleet.upstreams : remaining)
      const second = goneWhen === 'after' ? await beginAll(fleet, 'b') : []
      // One VM is lost again, with all that only it knew.
      fleet.killVm(0)
      if (goneWhen === 'after') {
        const live = (await resumeAll(fleet, 'b', { namesAll: true })).filter(({ status }) => status !== undefined)
        // All of them continue while their version is served.
        expect(live.filter(({ status }) => status !== 200)).toEqual([])
        endOld()
        fleet.publish(remaining.map(({ announced }) => announced))
      }
      for (const [versions, resumed] of [
        [begun, await resumeAll(fleet, 'a', { namesAll: false })],
        ...goneWhen === 'after' ? [[second, await resumeAll(fleet, 'b', { namesAll: false })] as const] : []
      ] as ReadonlyArray<readonly [readonly string[], readonly StreamAnswer[]]>) {
        expect(joinedOf(versions, resumed)).toEqual([])
        const reached = resumed.map(({ status }, index) => ({ status, version: versions[index] })).filter(({ status }) => status !== undefined)
        const shareOf = (version: string): string => `${reached.filter((one) => one.version === version && one.status === 200).length}/${reached.filter((one) => one.version === version).length}`
        console.info(`old version gone ${goneWhen}: streams of ${versions === begun ? 'before' : 'after'} the kill that continue: v1 ${shareOf('v1')}, v1.1 ${shareOf('v1.1')}`)
      }
    } finally {
      stops.forEach((stop) => stop())
    }
  })
})

describe.concurrent('a stream whose version no VM knows', () => {
  // Guards against a conclusion from the versions of another service than that which the route went to when the stream began.
  it('is refused for a time after its route has moved to another service', async ({ onTestFinished }) => {
    const fleet = await startFleet({ versions: ['v1'] }, onTestFinished)
    const other = await Promise.all([0, 1].map(async (index) => await fleet.startUpstream(`other-${index}`, index === 0 ? 'north' : 'south', 'v1.1')))
    fleet.upstreams.push(...other.map((upstream) => ({ ...upstream, announced: { ...upstream.announced, service: otherService } })))
    fleet.publish()
    await fleet.pass(provenMilliseconds)
    await fleet.begin(0, 'a1')
    fleet.publishRoute({ targets: [{ service: otherService, weight: 1 }] })
    fleet.killVm(0)
    const resumed = await fleet.call({ vm: 1, attempt: 'b1', resumes: 'a1', after: 3 })
    expect([resumed.status, ...resumed.versions]).toEqual([503])
  })

  // Guards against a VM that is cut off with upstreams of the old version, and whose streams are taken up at VMs that saw these leave long ago.
  it('is refused while a VM is not heard that knew another version last', async ({ onTestFinished }) => {
    const fleet = await startFleet({ versions: ['v1', 'v1.1'] }, onTestFinished)
    fleet.cutVm(0)
    fleet.publish(versionOf(fleet, 'v1.1').map(({ announced }) => announced), [1, 2, 3])
    fleet.publish(versionOf(fleet, 'v1').map(({ announced }) => announced), [0])
    await fleet.pass(provenMilliseconds)
    expect(await fleet.begin(0, 'a1')).toBe('v1')
    const resumed = await fleet.call({ vm: 1, attempt: 'b1', resumes: 'a1', after: 3 })
    expect([resumed.status, ...resumed.versions]).toEqual([503])
  })

  // Guards against a VM that was cut off a moment ago, counts the others as heard, and lacks the version that joined since (ORDER).
  it('is refused by a VM that doesn’t know yet that it is cut off, while a new version has joined', async ({ onTestFinished }) => {
    const fleet = await startFleet({ versions: ['v1'] }, onTestFinished)
    await fleet.pass(provenMilliseconds)
    fleet.recordAgeMilliseconds = 1_000
    fleet.cutVm(0)
    const newer = await fleet.startUpstream('north-newer', 'north', 'v1.1')
    onTestFinished(() => { newer.server.close() })
    fleet.publish([newer.announced], [1, 2, 3])
    expect((await fleet.call({ vm: 2, attempt: 'a1' })).versions).toEqual(['v1.1'])
    const resumed = await fleet.call({ vm: 0, attempt: 'b1', resumes: 'a1', after: 3 })
    expect([resumed.status, ...resumed.versions]).toEqual([503])
  })

  // Guards against versions that came and went while the records of a VM were old.
  it('is refused for a time after the records were old', async ({ onTestFinished }) => {
    const fleet = await startFleet({ versions: ['v1'], vmCount: 2 }, onTestFinished)
    await fleet.pass(provenMilliseconds)
    expect((await fleet.call({ vm: 0, attempt: 'b1', after: 3 })).versions).toEqual(['v1'])
    fleet.recordAgeMilliseconds = 5_001
    await fleet.pass(1)
    fleet.recordAgeMilliseconds = 0
    expect((await fleet.call({ vm: 0, attempt: 'b2', after: 3 })).status).toBe(503)
    await fleet.pass(provenMilliseconds)
    expect((await fleet.call({ vm: 0, attempt: 'b3', after: 3 })).versions).toEqual(['v1'])
  })

  // Guards against a caller that names no attempt, and whose stream began at a version of which its next VM had not learnt yet.
  it('is refused while another VM has learnt of a further version, also if that is told only after the request has come', async ({ onTestFinished }) => {
    const fleet = await startFleet({ versions: ['v1'] }, onTestFinished)
    await fleet.pass(provenMilliseconds)
    const newer = await fleet.startUpstream('north-newer', 'north', 'v1.1')
    const answer = fleet.call({ vm: 3, attempt: 'b1', after: 3 })
    await wait(20)
    fleet.publish([...fleet.upstreams, newer].map(({ announced }) => announced), [2])
    expect((await answer).status).toBe(503)
    newer.server.close()
  })

  // Guards against a VM that goes on after a suspension, and takes messages from before it for news.
  it('is refused for a time after the VM stood still', async ({ onTestFinished }) => {
    const fleet = await startFleet({ versions: ['v1'], vmCount: 1 }, onTestFinished)
    await fleet.pass(provenMilliseconds)
    fleet.standStill(provenMilliseconds)
    expect((await fleet.call({ vm: 0, attempt: 'b1', after: 3 })).status).toBe(503)
    await fleet.pass(1)
    expect((await fleet.call({ vm: 0, attempt: 'b2', after: 3 })).status).toBe(503)
  })
})
