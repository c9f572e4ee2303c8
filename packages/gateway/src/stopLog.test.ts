import { afterAll, describe, expect, it } from 'vitest'
import { callGateway, testRoute, testSettings, wait } from './testSupport.js'
import { openKeptCaller, reportSouth, startStopGateway, stopLikeProcess } from './stopTestSupport.js'
import type { StopGateway, StopGatewayOptions } from './stopTestSupport.js'

const gateways: StopGateway[] = []
const endings: Array<() => void> = []
afterAll(() => {
  endings.forEach((end) => end())
  gateways.forEach((gateway) => gateway.stop())
})

const start = async (options: StopGatewayOptions): Promise<StopGateway> => {
  const gateway = await startStopGateway(options)
  gateways.push(gateway)
  return gateway
}

const orders = testRoute({ timeoutMilliseconds: 9_000, objectiveMilliseconds: 100 })
const streams = testRoute({ pathPrefix: '/streams/', kind: 'stream', timeoutMilliseconds: 9_000 })
const shortGrace = { bounds: { ...testSettings.bounds, leavingGraceMilliseconds: 5_000 } }

// Guards against cut requests of which no log tells when, after the stop signal, they were read, who sent them on, and whether the other VM stopped too (docs/incidents/lost2.md).
describe.concurrent('the log and the metrics of a VM that stops', () => {
  it('tell when a request was received, which one was cut, and how many there were', async () => {
    const vm = await start({ routes: [orders, streams], settings: shortGrace })
    const before = openKeptCaller(vm.port)
    before.send('/streams/9000', 'before')
    // More than the signal is taken to have waited on a busy machine.
    await wait(1_100)
    const stopped = stopLikeProcess(vm)
    await wait(200)
    expect((await callGateway({ port: vm.port, path: '/orders/0', attempt: 'after' })).status).toBe(200)
    await stopped
    const lineOf = (id: string): unknown => vm.lines.find(({ event, fields }) => event === 'request' && fields.id === id)?.fields
    expect(lineOf('before')).toMatchObject({ outcome: 'abandoned', sinceStop: expect.toSatisfy((value: number) => value < 0) as number })
    expect(lineOf('after')).toMatchObject({ outcome: 'answered', sinceStop: expect.toSatisfy((value: number) => value >= 150) as number })
    expect(vm.lines.find(({ event }) => event === 'left')?.fields).toMatchObject({ abandoned: 1, received: 1, refused: 0, cut: 1 })
    expect(await vm.gateway.metricsText()).toContain('cuminvale_gateway_stop_cuts_total{kind="stream"} 1')
  })

  // Guards against a replacement of VMs that looks like a shortage of capacity.
  it('count a request that is refused for the stop as such only', async () => {
    const vm = await start({ routes: [orders, streams], settings: shortGrace })
    const stopped = stopLikeProcess(vm)
    expect((await callGateway({ port: vm.port, path: '/streams/0' })).status).toBe(503)
    await stopped
    const metrics = await vm.gateway.metricsText()
    expect(metrics).toContain('cuminvale_gateway_stop_refusals_total{kind="stream"} 1')
    expect(metrics).not.toContain('cuminvale_gateway_admission_refusals_total{')
  })

  it('name the VM that forwarded a request, and whether the VM of a broken forward was known to stop', async () => {
    const south = await start({ routes: [orders], vm: 'vm-2', regionName: 'south', settings: shortGrace })
    const north = await start({ routes: [orders], upstreams: [] })
    endings.push(reportSouth(north, [south]))
    const answer = callGateway({ port: north.port, path: '/orders/9000' })
    await wait(200)
    await stopLikeProcess(south)
    expect((await answer).status).toBe(502)
    expect(south.lines.find(({ event }) => event === 'request')?.fields).toMatchObject({ forwarded: true, sender: 'vm-1' })
    expect(north.lines.find(({ event }) => event === 'request')?.fields).toMatchObject({ peer: 'ready', target: 'south:vm-2' })
  })
})
