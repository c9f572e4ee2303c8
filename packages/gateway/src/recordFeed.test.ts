import { ManualClock } from '@cuminvale/common'
import { PublishedRecords } from '@cuminvale/serving'
import { beforeEach, describe, expect, it } from 'vitest'
import { RecordFeed, decompress } from './recordFeed.js'
import { unpackMessages } from './linkMessages.js'
import type { LinkMessage } from './linkMessages.js'

interface TestVm {
  readonly records: PublishedRecords
  readonly feed: RecordFeed
  adopted: number
}

let clock: ManualClock
beforeEach(() => { clock = new ManualClock() })

const startVm = (): TestVm => {
  const records = new PublishedRecords({ clock, mayLapse: (key) => key.startsWith('upstreams/'), isOlder: (_key, value, known) => Number(value.slice(1)) < Number(known.slice(1)) })
  const vm: TestVm = { records, adopted: 0, feed: new RecordFeed({ clock, records, takesRecords: () => true, onRecordsAdopted: () => { vm.adopted += 1 } }) }
  return vm
}

const unpack = (frame: Buffer): LinkMessage => {
  const [message] = unpackMessages(frame)
  if (message === undefined) throw new Error('the frame holds no message')
  return message.kind === 'compressed' ? unpack(decompress(message, 1_000_000)) : message
}

/** Lets a VM hear another one, and delivers the request and its answer. */
const hear = (vm: TestVm, other: TestVm): number => {
  let answers = 0
  vm.feed.handleKnowledge(other.feed.knowledge, (request) => {
    const message = unpack(request)
    if (message.kind !== 'records-request') throw new Error(`unexpected ${message.kind}`)
    const answer = unpack(other.feed.answerRequest(message.after))
    answers += 1
    if (answer.kind === 'records') vm.feed.applySnapshot(answer)
    else if (answer.kind === 'record-changes') vm.feed.applyChanges(answer)
  })
  return answers
}

const keysOf = ({ records }: TestVm): readonly string[] => [...records.all].map(({ key }) => key).sort()

describe('RecordFeed', () => {
  it('gives a VM without records all of them, also if they are long', () => {
    const [source, reader] = [startVm(), startVm()]
    source.records.applySnapshot(Array.from({ length: 200 }, (_, index) => ({ key: `k${index}`, value: 'x'.repeat(50), revision: index + 1 })), 200)
    source.feed.confirm()
    expect(hear(reader, source)).toBe(1)
    expect([reader.records.at, keysOf(reader).length, reader.adopted]).toEqual([200, 200, 1])
  })

  it('requests nothing from a VM that knows no more, and learns how fresh its own knowledge is', () => {
    const [source, reader] = [startVm(), startVm()]
    for (const { records } of [source, reader]) records.applySnapshot([], 5)
    source.feed.confirm()
    clock.advance(300)
    expect(hear(reader, source)).toBe(0)
    clock.advance(200)
    expect(reader.feed.ageMilliseconds).toBe(500)
  })

  it('does not count knowledge as fresh that a VM with an earlier revision has confirmed', () => {
    const [source, reader] = [startVm(), startVm()]
    reader.records.applySnapshot([], 5)
    source.records.applySnapshot([], 6)
    source.feed.confirm()
    reader.feed.handleKnowledge(source.feed.knowledge, () => { /* the answer is lost */ })
    expect(reader.feed.ageMilliseconds).toBe(Infinity)
  })

  it('never goes back to an earlier revision, and ignores changes if earlier ones are missing', () => {
    const vm = startVm()
    vm.records.applySnapshot([{ key: 'a', value: 'new', revision: 7 }], 7)
    vm.feed.applySnapshot({ kind: 'records', at: 6, records: [['a', 'old', 3]], lapsing: [] })
    expect(vm.feed.applyChanges({ kind: 'record-changes', after: 9, at: 10, changes: [['b', 'x', 10]], lapseGrace: 0 })).toBe(false)
    expect(vm.feed.applyChanges({ kind: 'record-changes', after: 2, at: 6, changes: [['a', 'old', 5]], lapseGrace: 0 })).toBe(false)
    expect([...vm.records.all].map(({ value }) => value)).toEqual(['new'])
  })

  it('passes on removals, and the time for which they are delayed after an outage', () => {
    const [source, reader] = [startVm(), startVm()]
    for (const { records } of [source, reader]) records.applySnapshot([{ key: 'upstreams/a', value: 'x', revision: 5 }, { key: 'b', value: 'x', revision: 5 }], 5)
    source.records.startLapseGrace()
    source.records.applyChanges([{ key: 'upstreams/a', value: undefined, revision: 6 }, { key: 'b', value: undefined, revision: 7 }], 7)
    hear(reader, source)
    expect(keysOf(reader)).toEqual(['upstreams/a'])
    clock.advance(10_000)
    reader.records.removeLapsed()
    expect(keysOf(reader)).toEqual([])
  })
})
