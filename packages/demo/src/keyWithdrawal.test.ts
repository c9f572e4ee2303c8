import { request } from 'undici'
import { afterEach, describe, expect, it } from 'vitest'
import { cooperativa, keysDocument } from './deployments.js'
import { ScriptedUpstream, neverAnswer } from './scriptedUpstream.js'
import { TestFleet } from './testFleet.js'
import { waitFor } from './waitFor.js'
import type { Script } from './scriptedUpstream.js'

let fleet: TestFleet
let upstream: ScriptedUpstream

const region = 'lombardia'
const withdrawalTimeoutMilliseconds = 2_000
/** The first VM is in the region of the upstream, the second in another. */
const vms = [...cooperativa.vms.slice(0, 1), ...cooperativa.vms.filter((vm) => vm.region !== region)]
const startedVmCount = 2

const startWith = async (script: Script): Promise<void> => {
  fleet = await TestFleet.start({ ...cooperativa, vms }, startedVmCount)
  upstream = new ScriptedUpstream(script)
  await upstream.start()
  const revision = fleet.platform.configuration.publish({
    upstreams: JSON.stringify({
      upstreams: [{
        name: 'scripted',
        region,
        failureDomain: `${region}-a`,
        address: upstream.server.address,
        routes: ['counter', 'orders'],
        models: ['catalogue-writer'],
        slots: 1
      }]
    })
  })
  await waitFor('the upstream to be in force', () => Promise.resolve(
    fleet.vms.every(({ daemon }) => daemon.context.configuration.current?.revision === revision)), 10_000)
}

afterEach(async () => {
  await fleet.stop()
  await upstream.server.stop()
})

const withdrawFirstKey = (): void => {
  fleet.platform.configuration.publish({ keys: keysDocument(fleet.platform.keys.slice(1)) })
}

const send = async (vm: number, prompt: string, stream = false) => {
  const response = await request(fleet.address(vm) + '/v1/completions', {
    method: 'POST',
    headers: { authorization: `Bearer ${fleet.key(0)}`, 'cuminvale-route': 'counter' },
    body: JSON.stringify({ model: 'catalogue-writer', prompt, stream, max_tokens: 4 })
  })
  let text = ''
  try {
    for await (const chunk of response.body) text += String(chunk)
  } catch {
    text += '<broken>'
  }
  return { status: response.statusCode, text }
}

const outcomeOf = (text: string) => JSON.parse(text) as { readonly reason: string, readonly outcome: string }

describe('a withdrawn key', () => {
  it.each([
    ['in the region of the upstream', 0, ['not-run']],
    // If the first VM gives up before the second one responds, it can't know that nothing ran.
    ['forwarded from another region', 1, ['not-run', 'unknown']]
  ])('stops running and queued requests at once, %s', async (_, vm, queuedOutcomes) => {
    await startWith(neverAnswer)
    const running = send(vm, 'running')
    await waitFor('the first request to run', () => Promise.resolve(upstream.bodies.length > 0), 10_000)
    const queued = send(vm, 'queued')
    await waitFor('the second request to wait', () => Promise.resolve(
      fleet.vms.some(({ daemon }) => daemon.context.scheduler.queueLength === 1)), 10_000)
    const withdrawnAt = performance.now()
    withdrawFirstKey()
    const [ranAnswer, queuedAnswer] = await Promise.all([running, queued])
    expect(performance.now() - withdrawnAt).toBeLessThan(withdrawalTimeoutMilliseconds)
    expect([ranAnswer.status, queuedAnswer.status]).toEqual([401, 401])
    expect(outcomeOf(ranAnswer.text)).toMatchObject({ reason: 'key-unknown', outcome: 'unknown' })
    expect(outcomeOf(queuedAnswer.text)).toMatchObject({ reason: 'key-unknown' })
    expect(queuedOutcomes).toContain(outcomeOf(queuedAnswer.text).outcome)
    expect(upstream.bodies.filter((body) => body.includes('queued'))).toEqual([])
  })

  it('breaks off a running stream with an error event', async () => {
    await startWith(({ response }) => {
      response.writeHead(200, { 'content-type': 'text/event-stream' })
      response.write('data: {"choices":[{"index":0,"text":"w0 "}]}\n\n')
    })
    const streamed = send(0, 'streamed', true)
    await waitFor('the stream to run', () => Promise.resolve(upstream.bodies.length > 0), 10_000)
    withdrawFirstKey()
    const { status, text } = await streamed
    expect(status).toBe(200)
    expect(text).toContain('event: error')
    expect(text).toContain('key-unknown')
    expect(text).not.toContain('[DONE]')
  })
})
