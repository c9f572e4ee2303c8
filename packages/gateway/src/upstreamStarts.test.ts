import { ManualClock, toFailureDomainId, toUpstreamId, toVmId } from '@cuminvale/common'
import { StartSign, UpstreamTable } from '@cuminvale/serving'
import { beforeEach, describe, expect, it } from 'vitest'
import { outOfTouchInspectionMilliseconds } from './constants.js'
import { unpackMessages } from './linkMessages.js'
import { GatewayMetrics } from './gatewayMetrics.js'
import { region, service, silentLog } from './testSupport.js'
import { UpstreamStarts } from './upstreamStarts.js'
import type { Service, SoftwareVersion, UpstreamState } from '@cuminvale/serving'
import type { UpstreamColdMessage } from './linkMessages.js'
import type { UpstreamHealth } from './types.js'

const id = toUpstreamId('u1')
const engine: Service = { name: service, connectionsPerUpstream: 400, coldSeconds: 3, coldRequestsPerSecond: 11, isEngine: false, slots: 64, memoryTokens: 0, healthPath: '/health' }
/** Of 19.5 requests a second that the upstream takes from three VMs and one that isn't known yet. */
const share = 4

interface Vm {
  readonly starts: UpstreamStarts
  readonly upstream: UpstreamState
}

let clock: ManualClock
let isOutOfTouch: boolean
let vmCount: number
/** What the process says of itself; undefined while it answers nothing. */
let health: UpstreamHealth | undefined
let inspections: number

const createVm = (name = 'vm-1'): Vm => {
  const upstreams = new UpstreamTable({ clock, regionOf: () => region, findService: () => engine })
  upstreams.sync([{
    id, service, host: '127.0.0.1', port: 1, failureDomain: toFailureDomainId('d'), slots: 64, isLeaving: false, leavesInMilliseconds: undefined, coldMilliseconds: 0, startedAt: 1, softwareVersion: 'v1' as SoftwareVersion
  }], new Set())
  const starts = new UpstreamStarts({
    clock,
    log: silentLog,
    metrics: new GatewayMetrics(),
    upstreams,
    findService: () => engine,
    vm: toVmId(name),
    bounds: { coldOverage: 1.5, coldMargin: 3 },
    neighbours: () => Array.from({ length: vmCount - 1 }, (_, index) => toVmId(`other-${index}`)),
    vmCount: () => vmCount + 1,
    isSettled: () => true,
    isHere: () => true,
    isOutOfTouch: () => isOutOfTouch,
    inspect: async () => {
      inspections += 1
      return await Promise.resolve(health)
    },
    onUnreachable: () => { /* not asserted */ }
  })
  const [upstream] = [...upstreams.all]
  if (upstream === undefined) throw new Error('the upstream is not known')
  return { starts, upstream }
}

/** Lets inspections end that are under way. */
const settle = async (): Promise<void> => { for (let turn = 0; turn < 5; turn += 1) await Promise.resolve() }

/** Sends as many requests as are allowed within a time, one each 10 ms at most. */
const sendFor = async ({ starts, upstream }: Vm, milliseconds: number): Promise<number> => {
  let sent = 0
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 10) {
    if (elapsed % 200 === 0) starts.tick()
    if (starts.allows(engine, upstream)) {
      upstream.recordSend(1)
      starts.recordSend(upstream)
      sent += 1
    }
    await settle()
    clock.advance(10)
  }
  return sent
}

beforeEach(() => {
  clock = new ManualClock()
  clock.advance(10_000)
  isOutOfTouch = false
  vmCount = 3
  health = { upstream: id, coldMilliseconds: 0 }
  inspections = 0
})

describe('UpstreamStarts', () => {
  // Guards against a VM that hears nothing of an evacuation, and goes on sending as the upstreams become cold at its end (FAILBACK).
  it('sends no more than the share of a VM that is out of touch once the upstream becomes cold', async () => {
    const vm = createVm()
    isOutOfTouch = true
    expect(await sendFor(vm, 1_000)).toBe(100)
    health = { upstream: id, coldMilliseconds: 3_000 }
    expect(await sendFor(vm, 1_000)).toBeLessThanOrEqual(share + 1)
    expect(vm.upstream.isCold).toBe(true)
  })

  it('sends no more than its share while it is out of touch and inspections aren’t answered', async () => {
    const vm = createVm()
    isOutOfTouch = true
    health = undefined
    expect(await sendFor(vm, 1_000)).toBe(share)
  })

  // Guards against a large region, in which no VM has a share, that serves nothing while it is out of touch.
  it('sends one request after each inspection if there are too many VMs for a share', async () => {
    vmCount = 60
    const vm = createVm('vm-without-share')
    isOutOfTouch = true
    const sent = await sendFor(vm, 1_000)
    expect(sent).toBeGreaterThan(20)
    health = { upstream: id, coldMilliseconds: 3_000 }
    expect(await sendFor(vm, 1_000)).toBeLessThanOrEqual(1)
  })

  it('inspects nothing, and bounds nothing, while it is in touch and saw no sign', async () => {
    const vm = createVm()
    expect(await sendFor(vm, 1_000)).toBe(100)
    expect(inspections).toBe(0)
  })

  it('has all upstreams inspected when it is in touch again', async () => {
    const vm = createVm()
    isOutOfTouch = true
    vm.starts.tick()
    await settle()
    const before = inspections
    isOutOfTouch = false
    vm.starts.tick()
    expect(vm.upstream.start.isUnsure).toBe(true)
    await settle()
    expect([inspections, vm.upstream.start.isUnsure]).toEqual([before + 1, false])
  })

  it('repeats an inspection that showed nothing', async () => {
    const vm = createVm()
    health = undefined
    vm.starts.suspect(vm.upstream, StartSign.Lost)
    await settle()
    expect(vm.upstream.start.isUnsure).toBe(true)
    clock.advance(outOfTouchInspectionMilliseconds)
    health = { upstream: id, coldMilliseconds: 0 }
    vm.starts.tick()
    await settle()
    expect(vm.upstream.start.isUnsure).toBe(false)
  })

  it('inspects an upstream without a connection only once it is sent a request', async () => {
    const vm = createVm()
    vm.starts.suspect(vm.upstream, StartSign.Unwatched)
    vm.starts.tick()
    expect(inspections).toBe(0)
    expect(await sendFor(vm, 500)).toBe(50)
    expect(inspections).toBe(1)
  })

  // Guards against inspections in a large region that each open a connection, whose close is the reason of the next one.
  it('does not inspect an upstream without a connection where there are too many VMs for a share', () => {
    vmCount = 60
    const vm = createVm('vm-without-share')
    vm.starts.suspect(vm.upstream, StartSign.Unwatched)
    expect([inspections, vm.upstream.start.isUnsure, vm.starts.allows(engine, vm.upstream)]).toEqual([0, false, true])
  })

  // Guards against a VM that sends the usual rate to an upstream that another VM has seen cold (FAILBACK).
  it('tells others of an upstream that it saw cold, and takes that over only for a start that it knows, for no longer than one is cold', async () => {
    const [teller, other, newer] = [createVm('vm-1'), createVm('vm-2'), createVm('vm-3')]
    newer.upstream.announced = { ...newer.upstream.announced, startedAt: 2 }
    const told: UpstreamColdMessage[] = []
    teller.starts.announceCold = (frame) => unpackMessages(frame).forEach((message) => { if (message.kind === 'upstream-cold') told.push(message) })
    health = { upstream: id, coldMilliseconds: 2_000 }
    teller.starts.suspect(teller.upstream, StartSign.Lost)
    await settle()
    expect(told).toHaveLength(1)
    for (const { starts } of [other, newer]) told.forEach((message) => starts.receiveCold(message, { relays: false }))
    expect([other, newer].map(({ upstream }) => upstream.isCold)).toEqual([true, false])
    clock.advance(3_000)
    other.starts.receiveCold({ kind: 'upstream-cold', upstream: id, startedAt: undefined, coldMilliseconds: 1e9 }, { relays: false })
    clock.advance(3_000)
    expect(other.upstream.isCold).toBe(false)
  })

  it('passes on what it was told by way of hubs, once', () => {
    const vm = createVm()
    let passedOn = 0
    vm.starts.announceCold = () => { passedOn += 1 }
    for (let copies = 0; copies < 2; copies += 1) vm.starts.receiveCold({ kind: 'upstream-cold', upstream: id, startedAt: 1, coldMilliseconds: 500 }, { relays: true })
    expect(passedOn).toBe(1)
  })

  // Guards against an upstream that is used although another one answers at its address.
  it('does not use an upstream at whose address another one answers', async () => {
    const vm = createVm()
    health = { upstream: toUpstreamId('u2'), coldMilliseconds: 0 }
    vm.starts.suspect(vm.upstream, StartSign.Lost)
    await settle()
    expect(vm.upstream.isReplaced).toBe(true)
  })
})
