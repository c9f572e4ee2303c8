import * as fastCheck from 'fast-check'
import { describe, expect, it } from 'vitest'
import { IndexedHeap } from './indexedHeap.js'

const operation = fastCheck.record({
  kind: fastCheck.constantFrom('set', 'remove', 'pop'),
  item: fastCheck.integer({ min: 0, max: 20 }),
  key: fastCheck.integer({ min: 0, max: 50 })
})

describe('IndexedHeap', () => {
  it('returns the same minimum key and size as a plain map after every operation', () => {
    fastCheck.assert(fastCheck.property(fastCheck.array(operation, { maxLength: 200 }), (operations) => {
      const heap = new IndexedHeap<number>()
      const model = new Map<number, number>()
      for (const { kind, item, key } of operations) {
        if (kind === 'set') {
          heap.set(item, key)
          model.set(item, key)
        } else {
          const removed = kind === 'pop' ? heap.pop() : item
          if (kind === 'remove') expect(heap.remove(item)).toBe(model.has(item))
          if (removed !== undefined) model.delete(removed)
        }
        expect(heap.size).toBe(model.size)
        expect(heap.peekKey()).toBe(model.size === 0 ? undefined : Math.min(...model.values()))
      }
    }), { seed: 1 })
  })
})
