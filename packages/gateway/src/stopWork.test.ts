import { connect } from 'node:net'
import { runtimeClock } from '@cuminvale/common'
import { afterAll, describe, expect, it, vi } from 'vitest'
import { ExchangeServer } from './exchangeServer.js'
import { callGateway, sealedHead, startUpstream, testHeaders, testRoute, testSettings, wait } from './testSupport.js'
import { PausableClock, openKeptCaller, reportSouth, startStopGateway, stopLikeProcess } from './stopTestSupport.js'
import type { UpstreamScript } from './testSupport.js'
import type { KeptCaller, StopGateway, StopGatewayOptions } from './stopTestSupport.js'

const gateways: StopGateway[] = []
const cleanups: Array<() => void> = []
afterAll(() => {
  cleanups.forEach((cleanup) => cleanup())
  gateways.forEach((gateway) => gateway.stop())
})

const timeoutMilliseconds = 9_000
const slowOrders = testRoute({ objectiveMilliseconds: 2_000, timeoutMilliseconds })
const slowReads = testRoute({ pathPrefix: '/reads/', kind: 'safe', maximumAttempts: 2, objectiveMilliseconds: 2_000, timeoutMilliseconds })
const streams = testRoute({ pathPrefix: '/streams/', kind: 'stream', timeoutMilliseconds })
const resumables = testRoute({ pathPrefix: '/streams/resumable/', kind: 'stream', isResumable: true, maximumAttempts: 2, timeoutMilliseconds })
const routes = [slowOrders, slowReads, streams, resumables].map((route) => ({ ...route, name: route.pathPrefix as typeof route.name }))

const start = async (options: Partial<StopGatewayOptions> = {}): Promise<StopGateway> => {
  const gateway = await startStopGateway({ routes, ...options })
  gateways.push(gateway)
  return gateway
}

/** Begins a stream 100 ms before the VM is to stop, and sends the next request on the same connection as soon as the stream has ended. */
const sendAfterStream = (vm: StopGateway, streamEndsAt: number, next: string): KeptCaller => {
  const caller = openKeptCaller(vm.port)
  caller.send(`/streams/${streamEndsAt + 100}`, 'first')
  caller.ended(1).then(() => caller.send(next, 'next', 5_000), () => { /* never rejects */ })
  return caller
}

/** Keeps a VM from ending early, as it has nothing to do. */
const keepBusy = async (vm: StopGateway): Promise<void> => {
  const caller = openKeptCaller(vm.port)
  caller.send('/streams/6900', 'busy')
  while (!caller.seen.text.includes('data: first')) await wait(10)
}

/** How the last request on each connection ended; "refused" means not run, with a time to return, and a connection that closes. */
const endings = (callers: readonly KeptCaller[]): readonly string[] => callers.map(({ seen: { text } }) => {
  const answer = text.slice(text.lastIndexOf('HTTP/1.1'))
  if (/^HTTP\/1.1 503 [^]*retry-after: 0\.\d+\r\n[^]*connection: close\r\n/.test(answer)) return 'refused'
  if (!/^HTTP\/1.1 200 [^]*\r\n0\r\n\r\n$/.test(answer)) return 'cut'
  // Requests that cross the close of an idle connection are not read (RFC 9112, section 9.3.1).
  return answer.includes('attempt: first') ? 'unread' : 'served'
})

const pathsOf = (vm: StopGateway): readonly string[] => vm.upstream.seen.map(({ path }) => path)

// Guards against streams and orders that a stopping VM began 3 s or more after its signal, and cut at the end of its grace (docs/incidents/lost2.md).
describe.concurrent('a VM that stops, and a request that would outlast its grace', () => {
  it('does not run it, at any time, on a kept or a new connection', async () => {
    const vm = await start()
    const kept = [2_900, 4_200, 5_200, 6_200].map((streamEndsAt) => sendAfterStream(vm, streamEndsAt, '/streams/4800'))
    kept.push(...['/streams/resumable/4800', '/orders/4800', '/reads/4800'].map((next) => sendAfterStream(vm, 4_200, next)))
    const pipelined = openKeptCaller(vm.port)
    pipelined.send('/streams/4300', 'first')
    const begun = [...kept, pipelined]
    while (begun.some(({ seen }) => !seen.text.includes('data: first'))) await wait(10)
    const stopped = stopLikeProcess(vm)
    await wait(2_300)
    const fresh = openKeptCaller(vm.port)
    fresh.send('/streams/5500', 'late', 6_000)
    await wait(700)
    pipelined.send('/streams/4800', 'behind', 5_000)
    await stopped
    expect(new Set(endings([...begun, fresh]).filter((ending) => ending !== 'unread'))).toEqual(new Set(['refused']))
    expect(begun.every(({ seen }) => seen.text.includes('data: last'))).toBe(true)
    expect(pathsOf(vm).filter((path) => /4800|5500/.test(path))).toEqual([])
  })

  // Guards against a run whose answer can't be sent, as the one before it on the connection is cut.
  it('does not run a request behind another one that may outlast the grace', async () => {
    const vm = await start()
    const caller = openKeptCaller(vm.port)
    caller.send('/streams/8000', 'first')
    await wait(300)
    const stopped = stopLikeProcess(vm)
    await wait(1_000)
    caller.send('/orders/100', 'behind', 2_000)
    await stopped
    expect(pathsOf(vm)).toEqual(['/streams/8000'])
  })

  // Guards against an answer that is cut a second time, after its caller could have taken it elsewhere.
  it('does not send it again after its upstream has broken off', async () => {
    const breaksOff: UpstreamScript = (request, response) => {
      if (request.url?.startsWith('/streams/') === true) response.writeHead(200, { ...sealedHead(request), 'content-type': 'text/event-stream' }).write('id: 1\ndata: first\n\n')
      setTimeout(() => request.socket.destroy(), 4_000)
    }
    const vm = await start({ script: breaksOff })
    const other = await startUpstream('u1', breaksOff)
    cleanups.push(() => other.server.close())
    vm.decoder.view = { ...vm.decoder.view, upstreams: [vm.upstream.announced, other.announced] }
    vm.gateway.state.adoptRecords()
    const answers = ['/reads/4800', '/streams/resumable/4800'].map(async (path) => await callGateway({ port: vm.port, path, headers: { [testHeaders.deadline]: '8500' } }))
    const sentCount = (): number => vm.upstream.seen.length + other.seen.length
    while (sentCount() < 2) await wait(10)
    const stopped = stopLikeProcess(vm)
    // On a busy machine, a silent one may have been sent again before the stop.
    const sentBefore = sentCount()
    await stopped
    expect((await Promise.all(answers)).map(({ status, isWhole }) => [status, isWhole])).toEqual([[502, true], [200, false]])
    expect(sentCount()).toBe(sentBefore)
  })

  // Guards against a forward that its VM cut by its own stop, which the VM that the caller was connected to had not heard of.
  it('does not run it for a VM of another region, which stops a little later', async () => {
    const south = await start({ vm: 'vm-2', regionName: 'south' })
    const north = await start({ upstreams: [] })
    cleanups.push(reportSouth(north, [south]))
    await keepBusy(south)
    const stopped = [stopLikeProcess(south)]
    await wait(1_000)
    stopped.push(stopLikeProcess(north))
    await wait(2_300)
    const callers = ['/orders/4600', '/streams/4600', '/streams/resumable/4600'].map((path) => {
      const caller = openKeptCaller(north.port)
      caller.send(path, 'forwarded', 5_000)
      return caller
    })
    await Promise.all(stopped)
    expect(endings(callers)).toEqual(callers.map(() => 'refused'))
    expect(pathsOf(south)).toEqual(['/streams/6900'])
  })

  // Guards against a forwarded stream that is cut by the stop of the VM that its caller is connected to (docs/incidents/lost2.md).
  it('does not forward it to a VM that stays', async () => {
    const south = await start({ vm: 'vm-2', regionName: 'south' })
    const north = await start({ upstreams: [] })
    cleanups.push(reportSouth(north, [south]))
    const callers = ['/streams/4800', '/streams/resumable/4800', '/orders/4800'].map((next) => sendAfterStream(north, 4_200, next))
    while (callers.some(({ seen }) => !seen.text.includes('data: first'))) await wait(10)
    const stopped = stopLikeProcess(north)
    await wait(2_000)
    const fresh = openKeptCaller(north.port)
    fresh.send('/streams/5500', 'late', 6_000)
    await stopped
    expect(new Set(endings([...callers, fresh]).filter((ending) => ending !== 'unread'))).toEqual(new Set(['refused']))
    expect(pathsOf(south)).toEqual(callers.map(() => '/streams/4300'))
  })

  it('lets the VM that forwards it choose another VM of the region', async () => {
    const leaving = await start({ vm: 'vm-2', regionName: 'south' })
    const staying = await start({ vm: 'vm-3', regionName: 'south' })
    const north = await start({ upstreams: [] })
    cleanups.push(reportSouth(north, [leaving, staying]))
    await keepBusy(leaving)
    const stopped = stopLikeProcess(leaving)
    await wait(3_500)
    const answers = Array.from({ length: 4 }, async (_, index) => await callGateway({ port: north.port, path: '/streams/4600', attempt: `a${index}`, headers: { 'x-deadline': '5000' } }))
    expect((await Promise.all(answers)).map(({ status, isWhole }) => [status, isWhole])).toEqual(answers.map(() => [200, true]))
    expect(pathsOf(leaving)).toEqual(['/streams/6900'])
    await stopped
  })

  // Guards against a round trip for each forward to a VM whose stop is not reported yet.
  it('is forwarded nothing more by a VM that it has refused', async () => {
    const leaving = await start({ vm: 'vm-2', regionName: 'south' })
    const staying = await start({ vm: 'vm-3', regionName: 'south' })
    const north = await start({ upstreams: [] })
    cleanups.push(reportSouth(north, [leaving, staying]))
    await keepBusy(leaving)
    const stopped = stopLikeProcess(leaving)
    const refused = (): number => leaving.lines.filter(({ event, fields }) => event === 'request' && fields['outcome'] === 'refused').length
    const forwardAll = async (attempt: string): Promise<void> => {
      await Promise.all(Array.from({ length: 12 }, async (_, index) => await callGateway({ port: north.port, path: '/streams/100', attempt: `${attempt}${index}` })))
    }
    await forwardAll('a')
    const refusedAtFirst = refused()
    await forwardAll('b')
    expect(refusedAtFirst).toBeGreaterThan(0)
    expect(refused()).toBe(refusedAtFirst)
    await stopped
  })

  // Guards against a VM that refuses what it could still serve, as it doesn't know how long it takes.
  it('still serves a request that ends within the grace on a kept connection: an order, a safe request, a stream of a route whose streams are short', async () => {
    const vm = await start({ routes: routes.map((route) => ({ ...route, objectiveMilliseconds: 400 })) })
    const callers = ['/orders/300', '/reads/300', '/streams/resumable/300'].map((next) => sendAfterStream(vm, 4_200, next))
    for (let sent = 0; sent < 40; sent += 1) await callGateway({ port: vm.port, path: '/streams/resumable/10', attempt: `b${sent}` })
    await stopLikeProcess(vm)
    expect(endings(callers)).toEqual(callers.map(() => expect.stringMatching(/served|unread/) as string))
    expect(pathsOf(vm)).toContain('/streams/resumable/300')
  })
})

/** Keeps the event loop busy, so that what arrives meanwhile waits in the kernel, and timers fire first. */
const block = (milliseconds: number): void => {
  const until = performance.now() + milliseconds
  while (performance.now() < until) { /* busy */ }
}

const isListening = async (port: number): Promise<boolean> => await new Promise((resolve) => {
  const socket = connect(port, '127.0.0.1')
  socket.on('error', () => resolve(false))
  socket.on('connect', () => {
    socket.destroy()
    resolve(true)
  })
})

describe('a VM whose event loop is behind when its grace ends', () => {
  const graceMilliseconds = 3_600
  const settings = { bounds: { ...testSettings.bounds, leavingGraceMilliseconds: graceMilliseconds } }

  it('passes on the answers that wait in its sockets, and answers the requests that wait there', async () => {
    const held: Array<() => void> = []
    const clock = new PausableClock()
    const vm = await start({
      settings,
      clock,
      script: (request, response) => {
        const isStream = request.url === '/streams/held'
        if (isStream) response.writeHead(200, { ...sealedHead(request), 'content-type': 'text/event-stream' }).write('id: 1\ndata: first\n\n')
        held.push(() => isStream ? response.end() : response.writeHead(200, sealedHead(request)).end('done'))
      }
    })
    const caller = openKeptCaller(vm.port)
    caller.send('/streams/held', 'first')
    while (!caller.seen.text.includes('data: first')) await wait(10)
    const answered = callGateway({ port: vm.port, path: '/orders/held' })
    while (held.length < 2) await wait(10)
    const stopped = stopLikeProcess(vm)
    // However busy the machine is, the grace ends when the test says so.
    clock.pause()
    while (await isListening(vm.port)) await wait(50)
    held[0]?.()
    await caller.ended(1)
    caller.send('/orders/1', 'next', 5_000)
    held[1]?.()
    clock.advanceTo((vm.gateway.state.stopPlan?.endsAt ?? 0) + 600)
    clock.resume()
    block(100)
    await stopped
    expect(await answered).toMatchObject({ status: 200, body: 'done' })
    expect(caller.seen.text.match(/HTTP\/1.1 \d+/g)).toHaveLength(2)
  })

  // Guards against a request that fails although its answer came before the end of the grace was noticed.
  it('passes on an answer that arrived since the sockets were polled last', async () => {
    const held: Array<() => void> = []
    const clock = new PausableClock()
    const vm = await start({ settings, clock, script: (request, response) => { held.push(() => response.writeHead(200, sealedHead(request)).end('done')) } })
    const answered = callGateway({ port: vm.port, path: '/orders/held' })
    while (held.length === 0) await wait(10)
    const stopped = stopLikeProcess(vm)
    clock.pause()
    while (await isListening(vm.port)) await wait(50)
    const closeIdle = vi.spyOn(ExchangeServer.prototype, 'closeIdleConnections').mockImplementationOnce(() => {
      held[0]?.()
      clock.advanceTo((vm.gateway.state.stopPlan?.endsAt ?? 0) + 1)
    })
    await stopped
    closeIdle.mockRestore()
    expect(await answered).toMatchObject({ status: 200, body: 'done' })
  })

  // Guards against a grace that is counted from the handling of a signal, which waits while the loop is busy.
  it('counts the time for which the signal may have waited', async () => {
    const vm = await start({ settings })
    await wait(300)
    const stopped = new Promise<void>((resolve) => setTimeout(() => { resolve(vm.gateway.leave()) }, 0))
    const signalledAt = runtimeClock.monotonic()
    block(700)
    await stopped
    expect(vm.gateway.state.stopPlan?.signalledAt).toBeLessThanOrEqual(signalledAt + 10)
    expect(vm.gateway.state.stopPlan?.signalledAt).toBeGreaterThan(signalledAt - 300)
  })

  // Guards against requests that were cut up to 1 s before the end of the grace, since the loop had stood still before the signal came.
  it('counts no time before the signal', async () => {
    const vm = await start({ settings })
    await wait(300)
    block(1_000)
    // A signal comes when the sockets are polled, after the timers that were due; on a busy machine this one is among them.
    await wait(1)
    await new Promise((resolve) => setImmediate(resolve))
    const signalledAt = runtimeClock.monotonic()
    await stopLikeProcess(vm)
    expect(vm.gateway.state.stopPlan?.signalledAt).toBeGreaterThan(signalledAt - 300)
  })
})
