import { describe, expect, it } from 'vitest'
import { RecordRole } from './recordPoller.js'
import { VersionFleet } from './versionTestSupport.js'
import type { SoftwareVersion } from '@cuminvale/serving'
import type { GatewayPeerLinks } from './gatewayPeerLinks.js'
import type { StreamAnswer } from './versionTestSupport.js'

const vmCount = 8
/** More than three neighbours in each of two regions, so that speakers feed the others. */
const fedFleetVmCount = 12
const streamCount = 16
/** Beyond the time that a stream may last, the age that records may have, and the silence at a step of the clock. */
const provenMilliseconds = 18_000
/** Callers of a stream notice a pause of a few hundred milliseconds. */
const longestWaitMilliseconds = 1_000

/** VMs that have heard each other for long, while the service has had one version. */
const startFleet = async (onTestFinished: (stop: () => void) => void, { vms = vmCount } = {}): Promise<VersionFleet> => {
  const fleet = new VersionFleet({ versions: ['v1'], vmCount: vms, route: { timeoutMilliseconds: 1_000 } })
  onTestFinished(() => fleet.stop())
  await fleet.start()
  await fleet.pass(provenMilliseconds)
  return fleet
}

/** Takes up streams, whose VMs were killed, at the VMs that are left, and returns what came and how long the slowest took. */
const takeUpAfterKills = async (fleet: VersionFleet, killedCount: number): Promise<{ readonly answers: readonly StreamAnswer[], readonly milliseconds: number }> => {
  await Promise.all(Array.from({ length: streamCount }, async (_, index) => await fleet.call({ vm: index % killedCount, attempt: `a${index}` })))
  for (let vm = 0; vm < killedCount; vm += 1) fleet.killVm(vm)
  const startedAt = performance.now()
  const answers = await Promise.all(Array.from({ length: streamCount }, async (_, index) => await fleet.call({
    vm: killedCount + index % (vmCount - killedCount), attempt: `b${index}`, after: 3, ...index % 4 === 0 ? {} : { resumes: `a${index}` }
  })))
  return { answers, milliseconds: performance.now() - startedAt }
}

describe.concurrent('streams that are taken up after many VMs were killed at once', () => {
  // Guards against all of them being refused, since killed VMs can't prove that they know of no other version.
  it.each([4, vmCount - 1])('go on at the version that the source of the records shows (%i of 8)', async (killedCount) => {
    const stops: Array<() => void> = []
    try {
      const fleet = await startFleet((stop) => stops.push(stop))
      fleet.gateways.forEach(({ source }) => { source.onRead = () => true })
      const { answers, milliseconds } = await takeUpAfterKills(fleet, killedCount)
      expect(answers.map(({ status, versions, eventIds }) => [status, ...versions, ...eventIds])).toEqual(answers.map(() => [200, 'v1', 4, 5, 6]))
      expect(milliseconds).toBeLessThan(longestWaitMilliseconds)
    } finally {
      stops.forEach((stop) => stop())
    }
  })

  // Guards against output of two versions that is joined, if the killed VMs knew of a version that is new.
  it('are refused once that source shows another version', async ({ onTestFinished }) => {
    const fleet = await startFleet(onTestFinished)
    const newer = { ...fleet.upstreams.map(({ announced }) => announced)[0], softwareVersion: 'v1.1' as SoftwareVersion }
    const announced = fleet.upstreams.map((upstream, index) => index === 0 ? { ...upstream.announced, ...newer } : upstream.announced)
    fleet.gateways.forEach(({ source }, vm) => {
      source.onRead = () => {
        fleet.publish(announced, [vm])
        return true
      }
    })
    const { answers, milliseconds } = await takeUpAfterKills(fleet, 4)
    expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 503))
    expect(milliseconds).toBeLessThan(longestWaitMilliseconds)
  })

  // Guards against callers that are held for a proof that can't come any more.
  it('are refused soon while that source does not answer and most VMs are silent', async ({ onTestFinished }) => {
    const fleet = await startFleet(onTestFinished)
    const takenUp = await takeUpAfterKills(fleet, 5)
    expect(takenUp.answers.map(({ status }) => status)).toEqual(takenUp.answers.map(() => 503))
    const startedAt = performance.now()
    expect((await fleet.call({ vm: 7, attempt: 'c1', resumes: 'a1', after: 3 })).status).toBe(503)
    expect(performance.now() - startedAt).toBeLessThan(longestWaitMilliseconds)
  })

  // Guards against a store that is read by hundreds of VMs at once after a mass kill, with the changes of thousands of upstreams each time.
  it('go on at VMs that are fed without a read of their own', async ({ onTestFinished }) => {
    const fleet = await startFleet(onTestFinished, { vms: fedFleetVmCount })
    const reads = fleet.gateways.map(({ source, gateway }) => {
      const links = Reflect.get(gateway, 'links') as GatewayPeerLinks
      const read = { role: links.recordRole, count: 0 }
      // The other VMs prove nothing here, so that the source must.
      if (gateway.state.contact !== undefined) gateway.state.contact.isProvenSince = () => false
      source.onRead = () => {
        read.count += 1
        return true
      }
      return read
    })
    const answers = await Promise.all(fleet.gateways.map(async (_gateway, vm) => await fleet.call({ vm, attempt: `b${vm}`, resumes: 'unknown', after: 3 })))
    expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 200))
    const fed = reads.filter(({ role }) => role === RecordRole.Fed)
    expect(fed.length).toBeGreaterThan(fedFleetVmCount / 2)
    expect(fed.map(({ count }) => count)).toEqual(fed.map(() => 0))
    expect(reads.reduce((sum, { count }) => sum + count, 0)).toBeLessThanOrEqual(2 * (fedFleetVmCount - fed.length))
  })
})
