import { request } from 'undici'
import { afterEach, describe, expect, it } from 'vitest'
import { cooperativa } from './deployments.js'
import { ScriptedUpstream, echoBody, breakMidResponse, neverAnswer, streamEvents } from './scriptedUpstream.js'
import { TestFleet } from './testFleet.js'
import { waitFor } from './waitFor.js'
import type { Script } from './scriptedUpstream.js'

let fleet: TestFleet
let upstreams: readonly ScriptedUpstream[] = []

const region = 'lombardia'

const publishUpstreams = async (scripts: readonly Script[]): Promise<void> => {
  upstreams = scripts.map((script) => new ScriptedUpstream(script))
  await Promise.all(upstreams.map(async (upstream) => await upstream.start()))
  const revision = fleet.platform.configuration.publish({
    upstreams: JSON.stringify({
      upstreams: upstreams.map((upstream, index) => ({
        name: `scripted-${index}`,
        region,
        failureDomain: `${region}-a`,
        address: upstream.server.address,
        routes: ['drafting', 'counter', 'orders', 'order-status'],
        models: ['catalogue-writer'],
        slots: 16
      }))
    })
  })
  await waitFor('the upstreams to be in force', () => Promise.resolve(
    fleet.vms.every(({ daemon }) => daemon.context.configuration.current?.revision === revision)), 10_000)
}

const startWith = async (scripts: readonly Script[], vmCount = 1): Promise<void> => {
  fleet = await TestFleet.start(cooperativa, vmCount)
  await publishUpstreams(scripts)
}

afterEach(async () => {
  await fleet.stop()
  await Promise.all(upstreams.map(async (upstream) => await upstream.server.stop()))
})

const send = async (path: string, body?: string, vm = 0) => {
  const response = await request(fleet.address(vm) + path, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { authorization: `Bearer ${fleet.key(0)}`, 'cuminvale-route': 'counter' },
    ...(body === undefined ? {} : { body })
  })
  return { status: response.statusCode, headers: response.headers, text: await response.body.text() }
}

const completion = (prompt: string, stream = false): string =>
  JSON.stringify({ model: 'catalogue-writer', prompt, stream, max_tokens: 4 })

/** Requests of this duration still run when a draining VM stops listening. */
const slowRequestMilliseconds = 2_500

const deaths = (): number => upstreams.reduce((sum, upstream) => sum + upstream.deaths, 0)

describe('complete responses', () => {
  it('retries a response that breaks halfway, without the caller noticing', async () => {
    await startWith([breakMidResponse, echoBody])
    const answers = await Promise.all(Array.from({ length: 6 }, async (_, index) => await send('/v1/completions', completion(`p${index}`))))
    expect(answers.map(({ status }) => status)).toEqual([200, 200, 200, 200, 200, 200])
    answers.forEach(({ text }, index) => expect(text).toContain(`p${index}`))
  })

  it('gives every caller the response to its own request while others break or finish out of order', async () => {
    let turn = 0
    const outOfOrder: Script = async (scripted) => {
      turn += 1
      if (turn % 4 === 0) return await breakMidResponse(scripted)
      await new Promise((resolve) => setTimeout(resolve, (turn * 7) % 30))
      return await echoBody(scripted)
    }
    await startWith([outOfOrder, outOfOrder])
    const answers = await Promise.all(Array.from({ length: 40 }, async (_, index) => {
      const { status, text } = await send('/v1/completions', completion(`mine-${index}.`))
      return status === 200 ? text.includes(`mine-${index}.`) : 'refused'
    }))
    expect(answers).not.toContain(false)
  })
})

/** Indexes of the words of a stream; throws if an event is not complete JSON. */
const wordsOf = (text: string): readonly number[] => text.split('\n\n')
  .filter((event) => event.startsWith('data: {'))
  .map((event) => JSON.parse(event.slice('data: '.length)) as { choices: ReadonlyArray<{ text: string }> })
  .map(({ choices }) => Number(choices[0]?.text.trim().slice(1)))

const readStream = async () => {
  const response = await request(fleet.address(0) + '/v1/completions', {
    method: 'POST',
    headers: { authorization: `Bearer ${fleet.key(0)}`, 'cuminvale-route': 'counter' },
    body: completion('x', true)
  })
  let text = ''
  const read = async () => { for await (const chunk of response.body) text += String(chunk) }
  await expect(read()).rejects.toThrow()
  return text
}

describe('streams', () => {
  it('resumes a broken stream with no event repeated or missing', async () => {
    await startWith([streamEvents(10, 4)])
    const { text } = await send('/v1/completions', completion('x', true))
    expect(wordsOf(text)).toEqual([0, 1, 2, 3, 4, 5, 6, 7, 8, 9])
    expect(text.trimEnd().endsWith('data: [DONE]')).toBe(true)
  })

  it('ends with an error, never as if complete, if it cannot be resumed', async () => {
    const refuseResume: Script = (scripted) => {
      if (scripted.request.headers['cuminvale-resume-from'] === undefined) return streamEvents(10, 4)(scripted)
      scripted.response.writeHead(404).end()
    }
    await startWith([refuseResume])
    expect(await readStream()).not.toContain('[DONE]')
  })

  it('ends with an error if the upstream ends the stream without its end mark', async () => {
    const endEarly: Script = ({ response }) => {
      response.writeHead(200, { 'content-type': 'text/event-stream' })
      response.end('data: {"choices":[{"index":0,"text":"w0 "}]}\n\n')
    }
    await startWith([endEarly])
    expect(await readStream()).toContain('event: error')
  })
})

describe('an answer that another VM passes on', () => {
  /** Cuts the connections from the second VM, in another region than the upstreams, when half of the answer has arrived. */
  const cutLinkAfter = (writeHalf: Script): Script => async (scripted) => {
    await writeHalf(scripted)
    setTimeout(() => { fleet.vms[1]?.daemon.context.upstreamClient.close().catch(() => {}) }, 200)
  }

  // Guards against the part of an answer that arrived before the connection between two VMs was cut, passed on as the whole.
  it('is replaced by a failure that says it may have run if the connection between the VMs is cut', async () => {
    await startWith([cutLinkAfter(({ response }) => { response.writeHead(200, { 'content-length': 100 }).write('{"half":') })], 2)
    const { status, text } = await send('/v1/completions', completion('mine'), 1)
    expect([status, JSON.parse(text)]).toMatchObject([503, { outcome: 'unknown' }])
  })

  it('is resumed with no event repeated or missing if it is a stream', async () => {
    await startWith([cutLinkAfter((scripted) => {
      if (scripted.request.headers['cuminvale-resume-from'] !== undefined) return streamEvents(4)(scripted)
      scripted.response.writeHead(200, { 'content-type': 'text/event-stream' }).write('data: {"choices":[{"index":0,"text":"w0 "}]}\n\ndata: {"cho')
    })], 2)
    const { text } = await send('/v1/completions', completion('x', true), 1)
    expect(wordsOf(text)).toEqual([0, 1, 2, 3])
    expect(text.trimEnd().endsWith('data: [DONE]')).toBe(true)
  })
})

describe('unresponsive upstreams', () => {
  it('retries elsewhere when an upstream never responds, within the request deadline', async () => {
    await startWith([neverAnswer, echoBody])
    const answers = await Promise.all(Array.from({ length: 4 }, async () => await send('/v1/services/order-status/1')))
    expect(answers.map(({ status }) => status)).toEqual([200, 200, 200, 200])
  })
})

describe('requests that crash upstreams', () => {
  const crashOnRequest: Script = async (scripted) => {
    if (!scripted.body.includes('crash')) return await echoBody(scripted)
    await scripted.upstream.crash()
  }

  it('are refused after two deaths, through every VM, while others are served', async () => {
    await startWith([crashOnRequest, crashOnRequest, crashOnRequest, crashOnRequest, crashOnRequest], 3)
    const statuses: number[] = []
    for (let index = 0; index < 12; index += 1) {
      const answer = await send('/v1/completions', completion('crash'), index % 3)
      statuses.push(answer.status)
    }
    expect(deaths()).toBe(2)
    expect(statuses.slice(-6)).toEqual([422, 422, 422, 422, 422, 422])
    const unrelated = await send('/v1/completions', completion('harmless'), 2)
    expect(unrelated.status).toBe(200)
  })

  it('do not cause requests that ran beside them to be refused', async () => {
    const slow: Script = async (scripted) => {
      if (scripted.body.includes('crash')) return await scripted.upstream.crash()
      await new Promise((resolve) => setTimeout(resolve, 150))
      if (!scripted.response.destroyed) await echoBody(scripted)
    }
    await startWith([slow, slow, slow, slow])
    const unrelatedAnswers = Promise.all(Array.from({ length: 8 }, async (_, index) => await send('/v1/completions', completion(`fine-${index}`))))
    const culprit = await send('/v1/completions', completion('crash'))
    expect(culprit.status).not.toBe(200)
    expect((await unrelatedAnswers).map(({ status }) => status)).not.toContain(422)
    const laterAnswers = await Promise.all(Array.from({ length: 8 }, async (_, index) => await send('/v1/completions', completion(`fine-${index}`))))
    expect(laterAnswers.map(({ status }) => status)).toEqual(Array.from({ length: 8 }, () => 200))
    expect(deaths()).toBe(2)
  })
})

describe('leaving upstreams', () => {
  it('receive no new requests after their load report says that they leave', async () => {
    await startWith([echoBody, echoBody])
    const [first] = upstreams
    if (first !== undefined) first.leaving = true
    await waitFor('the report to arrive', () => Promise.resolve(
      fleet.vms.every(({ daemon }) => daemon.context.upstreamTable.views().some((view) => view.leaving))), 5_000)
    const before = first?.bodies.length
    for (let index = 0; index < 10; index += 1) await send('/v1/services/order-status/1')
    expect(first?.bodies.length).toBe(before)
  })
})

describe('graceful shutdown', () => {
  it('completes requests that are running or arrive on an open connection', async () => {
    const slow: Script = async (scripted) => {
      await new Promise((resolve) => setTimeout(resolve, slowRequestMilliseconds))
      await echoBody(scripted)
    }
    await startWith([slow])
    const running = Promise.all(Array.from({ length: 10 }, async (_, index) => await send('/v1/completions', completion(`r${index}`))))
    await new Promise((resolve) => setTimeout(resolve, 100))
    const stopping = fleet.vms[0]?.daemon.shutdown()
    const late = await send('/v1/completions', completion('late'))
    expect((await running).map(({ status }) => status)).toEqual(Array.from({ length: 10 }, () => 200))
    expect(late.status).toBe(200)
    await stopping
  })
})
