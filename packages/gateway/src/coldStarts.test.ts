import { createServer } from 'node:http'
import { afterEach, describe, expect, it } from 'vitest'
import { callGateway, freePort, sealedHead, service, startTestGateway, startUpstream, testDocument, testHeaders, testRoute, wait } from './testSupport.js'
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import type { ServingDocument } from '@cuminvale/serving'
import type { ScriptedUpstream, TestGateway } from './testSupport.js'

const coldSeconds = 2
const coldRequestsPerSecond = 10
/** Requests that all VMs together may send a cold upstream in a second, by the bounds of the test's settings. */
const maximumPerSecond = coldRequestsPerSecond * 1.5 + 3
const callIntervalMilliseconds = 10
const healthPath = '/health'
/** Time after which a VM counts the others that it knows, instead of an assumed number. */
const settledMilliseconds = 3_100

const document = (): ServingDocument => {
  const base = testDocument([testRoute({ kind: 'safe', maximumAttempts: 1 })])
  return { ...base, services: [{ name: service, connectionsPerUpstream: 400, coldSeconds, coldRequestsPerSecond, isEngine: false, slots: 50, memoryTokens: 0, healthPath }] }
}

/** An upstream on one port, whose process ends and starts again. */
class Process {
  readonly arrivedAt: number[] = []
  private server: Server | undefined
  private readonly sockets = new Set<Socket>()
  private coldUntil = 0

  constructor (private readonly id: string, private readonly port: number) {}

  async start ({ isCold }: { readonly isCold: boolean }): Promise<void> {
    this.coldUntil = performance.now() + (isCold ? coldSeconds * 1_000 : 0)
    const server = createServer((request, response) => {
      const coldMilliseconds = Math.max(0, Math.round(this.coldUntil - performance.now()))
      if (request.url === healthPath) return response.writeHead(200, { [testHeaders.healthOf]: this.id, ...(coldMilliseconds > 0 ? { [testHeaders.cold]: coldMilliseconds } : {}) }).end()
      this.arrivedAt.push(performance.now())
      response.writeHead(200, sealedHead(request)).end('done')
    })
    server.on('connection', (socket) => {
      this.sockets.add(socket)
      socket.on('error', () => { /* 'close' follows */ })
      socket.on('close', () => this.sockets.delete(socket))
    })
    this.server = server
    await new Promise<void>((resolve) => server.listen({ host: '127.0.0.1', port: this.port }, () => resolve()))
  }

  becomeCold (): void {
    this.coldUntil = performance.now() + coldSeconds * 1_000
  }

  end (): void {
    this.server?.close()
    this.sockets.forEach((socket) => socket.resetAndDestroy())
  }

  /** The most requests that arrived in any second since a time. */
  mostPerSecondSince (start: number): number {
    const since = this.arrivedAt.filter((at) => at >= start)
    return Math.max(0, ...since.map((from) => since.filter((at) => at >= from && at < from + 1_000).length))
  }
}

let gateway: TestGateway | undefined
let process: Process | undefined
afterEach(() => {
  gateway?.stop()
  process?.end()
  gateway = process = undefined
})

const startProcess = async (isCold: boolean): Promise<{ upstream: ScriptedUpstream, running: Process }> => {
  const scripted = await startUpstream('u1', () => { /* replaced by the process below */ })
  await new Promise((resolve) => scripted.server.close(resolve))
  const port = await freePort()
  const running = process = new Process('u1', port)
  await running.start({ isCold })
  return { upstream: { ...scripted, announced: { ...scripted.announced, port, slots: 50 } }, running }
}

/** Calls the VM at a steady rate for some time; refused calls are not repeated. */
const callFor = async (port: number, milliseconds: number): Promise<void> => {
  const calls: Array<Promise<unknown>> = []
  const endsAt = performance.now() + milliseconds
  for (let sent = 0; performance.now() < endsAt; sent += 1) {
    calls.push(callGateway({ port, path: '/orders/1', attempt: `a${sent}`, headers: { 'x-deadline': '400' } }).catch(() => undefined))
    await wait(callIntervalMilliseconds)
  }
  await Promise.all(calls)
}

describe('an upstream that has started anew before its record says so', () => {
  // Guards against a cold upstream that gets the usual rate, since no connection to it was refused (FAILBACK).
  it.each([['at once', 0], ['after 150 ms', 150]])('is sent what a cold one takes, if it is back %s', async (_case, downMilliseconds) => {
    const { upstream, running } = await startProcess(false)
    gateway = await startTestGateway(document(), [upstream])
    await wait(settledMilliseconds)
    const calls = callFor(gateway.port, 2_000)
    await wait(500)
    running.end()
    await wait(downMilliseconds)
    await running.start({ isCold: true })
    const startedAt = performance.now()
    await calls
    expect(running.mostPerSecondSince(startedAt)).toBeLessThanOrEqual(maximumPerSecond)
    expect(running.mostPerSecondSince(startedAt)).toBeGreaterThan(0)
  }, 15_000)

  // Guards against a VM that has just started, and takes an upstream for warm that its record doesn't call cold yet.
  it('is sent what a cold one takes by a VM that has just started', async () => {
    const { upstream, running } = await startProcess(true)
    gateway = await startTestGateway(document(), [upstream])
    await callFor(gateway.port, 1_500)
    expect(running.mostPerSecondSince(0)).toBeLessThanOrEqual(maximumPerSecond)
  }, 15_000)

  // Guards against a VM that is cut off from the records and the other VMs, and doesn't learn of an evacuation at whose end the upstream is cold (FAILBACK).
  it('is sent what a cold one takes by a VM that is out of touch with the records', async () => {
    const { upstream, running } = await startProcess(false)
    gateway = await startTestGateway(document(), [upstream])
    gateway.gateway.state.recordAgeMilliseconds = () => 60_000
    await wait(settledMilliseconds)
    const calls = callFor(gateway.port, 2_000)
    await wait(1_000)
    const servedWarm = running.arrivedAt.length
    running.becomeCold()
    const coldAt = performance.now()
    await calls
    expect(servedWarm).toBeGreaterThan(50)
    expect(running.mostPerSecondSince(coldAt)).toBeLessThanOrEqual(maximumPerSecond)
  }, 15_000)
})
