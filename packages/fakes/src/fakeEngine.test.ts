import { request } from 'undici'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { toModelName, toRequestId } from '@cuminvale/common'
import { EngineSlots } from './engineSlots.js'
import { FakeEngine } from './fakeEngine.js'

let fakeEngine: FakeEngine

beforeEach(async () => {
  fakeEngine = new FakeEngine({
    firstTokenMilliseconds: 0,
    tokenMilliseconds: 1,
    checksFencing: true,
    state: { loaded: [toModelName('writer')], version: '1', role: 'both', fence: 0 }
  })
  await fakeEngine.server.start()
})

afterEach(async () => {
  await fakeEngine.server.stop()
})

const open = async (id: string, headers: Record<string, string> = {}) => await request(`${fakeEngine.server.address}/v1/completions`, {
  method: 'POST',
  headers: { 'cuminvale-request-id': id, ...headers },
  body: JSON.stringify({ model: 'writer', prompt: 'Linen.', stream: true, max_tokens: 6 })
})

const readWhole = async (id: string): Promise<string> => await (await open(id)).body.text()

/** Reads a stream that must break, and returns the text received before the break. */
const readBroken = async (id: string): Promise<string> => {
  let text = ''
  try {
    for await (const chunk of (await open(id)).body) text += String(chunk)
  } catch {
    return text
  }
  throw new Error('the stream did not break')
}

describe('a fake engine', () => {
  it('continues a broken stream after the events already received', async () => {
    fakeEngine.breakAfterTokens = 3
    const first = await readBroken('a-1')
    const received = first.split('data: ').length - 1
    const resumed = await open('a-1', { 'cuminvale-resume-from': String(received) })
    fakeEngine.breakAfterTokens = undefined
    expect(first + await resumed.body.text()).toBe(await readWhole('a-2'))
    expect(fakeEngine.resumed).toBe(1)
  })

  it('refuses to resume a stream that it never started', async () => {
    const refused = await open('a-9', { 'cuminvale-resume-from': '2' })
    await refused.body.dump()
    expect(refused.statusCode).toBe(409)
  })

  it('closes the connection of a cancelled stream', async () => {
    const pending = readBroken('a-3')
    const cancel = async (): Promise<void> => {
      const done = await fakeEngine.engine.cancel(toRequestId('a-3'))
      if (done.isOk && done.value) return
      await new Promise((resolve) => setTimeout(resolve, 1))
      await cancel()
    }
    await cancel()
    expect(await pending).not.toContain('[DONE]')
  })
})

describe('engine slots', () => {
  it('serve queued interactive requests before batch requests, within the slot count', async () => {
    const slots = new EngineSlots(1)
    const order: string[] = []
    await slots.acquire('interactive')
    const batch = slots.acquire('batch').then(() => order.push('batch'))
    const interactive = slots.acquire('interactive').then(() => order.push('interactive'))
    expect([slots.running, slots.queued]).toEqual([1, 2])
    slots.release()
    await interactive
    slots.release()
    await batch
    expect(order).toEqual(['interactive', 'batch'])
    expect([slots.running, slots.queued]).toEqual([1, 0])
  })
})
