import { describe, expect, it } from 'vitest'
import { toUpstreamId } from '@cuminvale/common'
import { OutlierEjection } from './outlierEjection.js'

const names = ['a', 'b', 'c', 'd'].map(toUpstreamId)

const setup = () => {
  const time = { now: 0 }
  const clock = { monotonic: () => time.now, wall: () => time.now }
  const ejection = new OutlierEjection({ clock, upstreamCount: () => names.length })
  const fail = (index: number, times: number) => {
    for (let count = 0; count < times; count += 1) ejection.failed(names[index] ?? names[0]!)
  }
  const ejected = () => names.filter((name) => ejection.isEjected(name))
  return { time, ejection, fail, ejected }
}

describe('OutlierEjection', () => {
  it('ejects after three failures in a row, for longer each time', () => {
    const { time, fail, ejected } = setup()
    fail(0, 2)
    expect(ejected()).toEqual([])
    fail(0, 1)
    expect(ejected()).toEqual(['a'])
    time.now = 2_001
    expect(ejected()).toEqual([])
    fail(0, 3)
    time.now = 2_001 + 3_999
    expect(ejected()).toEqual(['a'])
  })

  it('counts consecutive failures only', () => {
    const { ejection, fail, ejected } = setup()
    fail(0, 2)
    ejection.succeeded(names[0]!)
    fail(0, 2)
    expect(ejected()).toEqual([])
  })

  it('never ejects more than half of the upstreams', () => {
    const { fail, ejected } = setup()
    for (const index of [0, 1, 2, 3]) fail(index, 10)
    expect(ejected()).toHaveLength(2)
  })
})
