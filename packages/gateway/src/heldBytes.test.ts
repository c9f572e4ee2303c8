import { describe, expect, it } from 'vitest'
import { BufferedAnswer } from './bufferedAnswer.js'
import { EventBoundaryBuffer } from './eventBoundaryBuffer.js'
import { HeldBytes } from './heldBytes.js'
import { sealedHeadText } from './endlessTestSupport.js'
import { callGateway, startTestGateway, startUpstream, testDocument, testRoute } from './testSupport.js'

const maximumBytes = 33_554_432
const chunkBytes = 4_096
const soundEventBytes = 8_192

const streamsOf = (count: number, held: HeldBytes): readonly EventBoundaryBuffer[] => Array.from({ length: count }, () => new EventBoundaryBuffer(held))

describe('HeldBytes', () => {
  // Guards against a VM that runs out of memory with hundreds of events without end, each of them below its own limit.
  it.each([1, 10, 100, 400, 1_000])('%i events without end hold no more than their share, and are given up one by one', (count) => {
    const held = new HeldBytes(maximumBytes)
    const streams = streamsOf(count, held)
    const chunk = Buffer.alloc(chunkBytes, 'x')
    for (let round = 0; round < 400; round += 1) {
      for (const stream of streams) {
        if (!stream.exceedsLimit) stream.push(chunk)
      }
    }
    const total = streams.reduce((sum, { heldBytes }) => sum + heldBytes, 0)
    expect(held.total).toBe(total)
    // One chunk after the limit, in memory that had doubled.
    expect(total).toBeLessThanOrEqual(maximumBytes + count * 2 * (16_384 + chunkBytes))
    expect(streams.every(({ exceedsLimit }) => exceedsLimit)).toBe(true)
    const sound = new EventBoundaryBuffer(held)
    sound.push(Buffer.alloc(soundEventBytes, 'x'))
    expect([sound.exceedsLimit, sound.push(Buffer.from('\n\n'))?.length]).toEqual([false, soundEventBytes + 2])
  })

  it('lets a single event grow to its own limit', () => {
    const [stream] = streamsOf(1, new HeldBytes(maximumBytes))
    stream?.push(Buffer.alloc(1_048_576, 'x'))
    expect(stream?.exceedsLimit).toBe(false)
  })

  it('allows as much as before once the memory was given back', () => {
    const held = new HeldBytes(maximumBytes)
    const before = held.allowance
    held.recordGrowth(maximumBytes)
    expect(held.allowance).toBe(16_384)
    held.recount(0)
    expect(held.allowance).toBe(before)
  })
})

describe('a part of an answer that is held', () => {
  // Guards against 64 KiB in chunks of a byte that take megabytes.
  it('takes no memory for each chunk of a safe answer', () => {
    const held = new HeldBytes(maximumBytes)
    const answer = new BufferedAnswer(200, [], held)
    for (let chunk = 0; chunk < 65_536; chunk += 1) answer.push(Buffer.from('x'))
    expect([answer.exceedsLimit, answer.heldBytes, held.total]).toEqual([false, 65_536, 65_536])
    const written: Buffer[] = []
    answer.writeBody({ data: (bytes: Buffer) => written.push(bytes) > 0 } as Parameters<typeof answer.writeBody>[0])
    expect(written.map(({ length }) => length)).toEqual([65_536])
  })

  // Guards against streams that keep a long read in memory for the few bytes of an event at its end.
  it('keeps neither a long read nor long events', () => {
    const stream = new EventBoundaryBuffer()
    const read = Buffer.alloc(65_536, 'id: 7\ndata: x\n\n')
    const passed = stream.push(read)
    expect([passed?.buffer === read.buffer, stream.partialEvent()?.buffer === read.buffer]).toEqual([true, false])
    expect([stream.lastEventId, stream.endsWithId]).toEqual(['7', true])
    const retained = ['lastEvents', 'lastEventsWithId'].map((name) => (Reflect.get(stream, name) as { kept: Buffer | undefined }).kept)
    expect(retained).toEqual([undefined, undefined])
  })

  // Guards against a count that is never given back: a VM would give up sound events after some hours.
  it('is not counted any more after its request has ended', async ({ onTestFinished }) => {
    const upstream = await startUpstream('u0', (request) => {
      request.socket.write(`${sealedHeadText(request, ['content-type: text/event-stream', 'transfer-encoding: chunked'])}10000\r\n${'x'.repeat(65_536)}\r\n`)
      setTimeout(() => request.socket.destroy(), 200)
    })
    const running = await startTestGateway(testDocument([testRoute({ kind: 'stream', isResumable: true })]), [upstream])
    onTestFinished(() => running.stop())
    const answer = callGateway({ port: running.port, path: '/orders/1' })
    await expect.poll(() => running.gateway.state.heldBytes.total).toBeGreaterThanOrEqual(65_536)
    expect((await answer).status).toBe(502)
    await expect.poll(() => running.gateway.state.heldBytes.total).toBe(0)
  })
})
