/**
 * Test support for VMs that stop: gateways that know each other as VMs of other
 * regions, their log lines, and a caller that sends its next request on the same
 * connection as soon as an answer has ended.
 */

import { connect } from 'node:net'
import { runtimeClock, toFailureDomainId, toIncarnationId, toRegionId, toVmId } from '@cuminvale/common'
import { domain, region, sealedHead, service, silentLog, startTestGateway, startUpstream, testDocument, testHeaders, wait } from './testSupport.js'
import type { Socket } from 'node:net'
import type { Clock } from '@cuminvale/common'
import type { LogFields } from '@cuminvale/logs'
import type { Route } from '@cuminvale/serving'
import type { ScriptedUpstream, TestGateway, UpstreamScript } from './testSupport.js'

/** The runtime's clock, which can be paused and advanced, so that steps of a test take none of the time that it is about. */
export class PausableClock implements Clock {
  private pausedAt: number | undefined
  private pausedMilliseconds = 0

  monotonic (): number {
    return this.pausedAt ?? runtimeClock.monotonic() - this.pausedMilliseconds
  }

  wall (): number {
    return runtimeClock.wall()
  }

  pause (): void {
    this.pausedAt = this.monotonic()
  }

  /** Only while it is paused. */
  advanceTo (time: number): void {
    this.pausedAt = Math.max(this.monotonic(), time)
  }

  resume (): void {
    if (this.pausedAt !== undefined) this.pausedMilliseconds = runtimeClock.monotonic() - this.pausedAt
    this.pausedAt = undefined
  }
}

export interface StopGateway extends TestGateway {
  readonly upstream: ScriptedUpstream
  readonly lines: ReadonlyArray<{ readonly event: string, readonly fields: LogFields }>
}

export interface StopGatewayOptions {
  readonly routes: readonly Route[]
  readonly script?: UpstreamScript
  /** Upstreams that the gateway uses instead of one of its own. */
  readonly upstreams?: readonly ScriptedUpstream[]
  readonly vm?: string
  readonly regionName?: string
  readonly settings?: Parameters<typeof startTestGateway>[4]
  readonly clock?: Clock
}

const south = { region: toRegionId('south'), domain: toFailureDomainId('south-a') } as const
const domainRegions = new Map([[domain, region], [south.domain, south.region]])

/** Answers after the milliseconds that end the path: a stream with an event at once and one at the end, anything else at the end. */
export const answersAfterPath: UpstreamScript = (request, response) => {
  const milliseconds = Number(request.url?.split('/').at(-1))
  const isStream = request.url?.startsWith('/streams/') === true
  const head = { ...sealedHead(request), ...isStream ? { 'content-type': 'text/event-stream' } : {} }
  if (isStream) response.writeHead(200, head).write('id: 1\ndata: first\n\n')
  setTimeout(() => {
    if (isStream) response.end('id: 2\ndata: last\n\n')
    else response.writeHead(200, head).end('done')
  }, milliseconds)
}

export const startStopGateway = async ({ routes, script = answersAfterPath, upstreams, vm = 'vm-1', regionName = 'north', settings = {}, clock = runtimeClock }: StopGatewayOptions): Promise<StopGateway> => {
  const lines: Array<{ readonly event: string, readonly fields: LogFields }> = []
  const log = { ...silentLog, info: (event: string, fields: LogFields = {}) => { lines.push({ event, fields }) } }
  const isSouth = regionName === 'south'
  const own = await startUpstream('u0', script)
  const upstream = isSouth ? { ...own, announced: { ...own.announced, failureDomain: south.domain } } : own
  const place = { vm: toVmId(vm), domainRegions, ...isSouth ? { region: south.region, failureDomain: south.domain } : {} }
  const gateway = await startTestGateway(testDocument(routes), upstreams ?? [upstream], log, clock, { ...place, ...settings })
  return { ...gateway, upstream, lines }
}

/** Keeps telling a gateway of VMs of the region "south" that are ready and have an upstream, as reports of a speaker that hasn't heard of their stop would; returns how to end that. */
export const reportSouth = ({ gateway }: TestGateway, others: readonly TestGateway[]): (() => void) => {
  const members = others.map(({ gateway: other }) => ({
    identity: {
      vm: other.state.settings.vm, incarnation: toIncarnationId(`i-${other.state.settings.vm}`), region: south.region, failureDomain: south.domain, linkAddress: `127.0.0.1:${other.linkPort}`, callerAddress: 'a:1', processorCapacity: 1
    },
    isReady: true
  }))
  gateway.state.peers.recordRegionReport(south.region, members)
  const report = (): void => {
    gateway.state.peers.recordRegionReport(south.region, undefined)
    gateway.state.forecasts.recordReport(south.region, new Map([[service, { upstreams: 1, waitMilliseconds: 0, freeSlots: 6 }]]))
  }
  report()
  const timer = setInterval(report, 200)
  return () => clearInterval(timer)
}

export interface KeptCaller {
  readonly socket: Socket
  readonly seen: { text: string, isClosed: boolean }
  send (path: string, attempt: string, deadlineMilliseconds?: number): void
  /** Resolves once the given number of answers has ended, or the connection has closed. */
  ended (answers: number): Promise<void>
}

const endedAnswers = (text: string): number => (text.match(/\r\n0\r\n\r\n|stops[^\n]*\n/g) ?? []).length

export const openKeptCaller = (port: number): KeptCaller => {
  const socket = connect(port, '127.0.0.1')
  const seen = { text: '', isClosed: false }
  const waiting: Array<() => void> = []
  const check = (): void => waiting.forEach((settle) => settle())
  socket.on('data', (chunk: Buffer) => {
    seen.text += chunk.toString('latin1')
    check()
  })
  socket.on('error', () => { /* 'close' follows */ })
  socket.on('close', () => {
    seen.isClosed = true
    check()
  })
  return {
    socket,
    seen,
    send: (path, attempt, deadlineMilliseconds) => {
      const deadline = deadlineMilliseconds === undefined ? '' : `${testHeaders.deadline}: ${deadlineMilliseconds}\r\n`
      socket.write(`POST ${path} HTTP/1.1\r\nhost: shop.example\r\n${testHeaders.attempt}: ${attempt}\r\n${deadline}content-length: 0\r\n\r\n`)
    },
    ended: async (answers) => await new Promise((resolve) => {
      const settle = (): void => { if (seen.isClosed || endedAnswers(seen.text) >= answers) resolve() }
      waiting.push(settle)
      settle()
    })
  }
}

/** Lets the gateway stop, and ends it as its process would, with what it hasn't answered. */
export const stopLikeProcess = async ({ gateway }: TestGateway): Promise<void> => {
  await gateway.leave()
  gateway.close()
  await wait(50)
}
