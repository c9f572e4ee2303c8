import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { FeederConfirmations } from './feederConfirmations.js'
import { unpackMessages } from './linkMessages.js'
import type { ConfirmationMessage, ConfirmationRequestMessage } from './linkMessages.js'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

const changes = Buffer.from('changes')
const readMilliseconds = 20

interface FedPair {
  readonly fed: FeederConfirmations
  readonly fedRecords: { at: number }
  readonly feederRecords: { at: number }
  /** Whether the VM that feeds can read the source, and whether it does. */
  readonly feeder: { succeeds: boolean, isReader: boolean, answers: boolean, confirmations: number }
}

/** A VM that is fed, linked to one that feeds it and whose records are newer. */
const link = (): FedPair => {
  const fedRecords = { at: 5 }
  const feederRecords = { at: 7 }
  const feeder = { succeeds: true, isReader: true, answers: true, confirmations: 0 }
  const idle = { feeders: () => [], isReader: () => false, confirm: async () => await Promise.resolve(false), changesAfter: () => changes }
  const receive = (message: Buffer): void => {
    if (message === changes) fedRecords.at = feederRecords.at
    else fed.receive(unpackMessages(message)[0] as ConfirmationMessage)
  }
  const feeding = new FeederConfirmations({
    ...idle,
    records: feederRecords,
    isReader: () => feeder.isReader,
    confirm: async () => {
      feeder.confirmations += 1
      await new Promise((resolve) => setTimeout(resolve, readMilliseconds))
      return feeder.succeeds
    }
  })
  const fed = new FeederConfirmations({
    ...idle,
    records: fedRecords,
    feeders: () => [(message) => {
      if (feeder.answers) feeding.answer(unpackMessages(message)[0] as ConfirmationRequestMessage, receive).catch(() => { /* not asserted */ })
    }]
  })
  return { fed, fedRecords, feederRecords, feeder }
}

const requestOf = async ({ fed }: FedPair, milliseconds = readMilliseconds): Promise<boolean> => {
  const answer = fed.request()
  await vi.advanceTimersByTimeAsync(milliseconds)
  return await answer
}

describe('FeederConfirmations', () => {
  it('brings the changes that this VM lacks before it confirms', async () => {
    const pair = link()
    expect([await requestOf(pair), pair.fedRecords.at, pair.feeder.confirmations]).toEqual([true, 7, 1])
  })

  it('confirms without changes if this VM lacks none', async () => {
    const pair = link()
    pair.fedRecords.at = 7
    expect(await requestOf(pair)).toBe(true)
  })

  it('confirms nothing if the other VM can not read the source, or is fed itself', async () => {
    const unread = link()
    unread.feeder.succeeds = false
    const fedToo = link()
    fedToo.feeder.isReader = false
    expect([await requestOf(unread), await requestOf(fedToo), fedToo.feeder.confirmations]).toEqual([false, false, 0])
  })

  // Guards against a version that is concluded from records which lack the last changes.
  it('confirms nothing if the changes did not arrive', async () => {
    const pair = link()
    pair.feeder.answers = false
    const lacking = pair.fed.request()
    pair.fed.receive({ kind: 'confirmation', request: 1, at: 8 })
    expect(await lacking).toBe(false)
  })

  // Guards against a VM that waits for one of the production build, or for one that is gone.
  it('gives up after 400 ms without an answer, and at once if no VM is linked', async () => {
    const pair = link()
    pair.feeder.answers = false
    expect(await requestOf(pair, 400)).toBe(false)
    const alone = new FeederConfirmations({ records: { at: 1 }, feeders: () => [], isReader: () => false, confirm: async () => await Promise.resolve(true), changesAfter: () => changes })
    expect(await alone.request()).toBe(false)
  })
})
