/**
 * Simulated model engine with continuous batching. It prefills one prompt at a
 * time, interactive requests first, and decodes up to `slots` requests
 * concurrently. A least-recently-used cache holds the prefix blocks of prompts.
 */

import { PriorityClass } from '@cuminvale/common'
import type { VirtualClock } from './virtualClock.js'

export interface RunnerRequest {
  readonly priority: PriorityClass
  readonly promptTokens: number
  readonly outputTokens: number
  /** Chained digests of the prompt's blocks, in prompt order. */
  readonly blocks: readonly number[]
  readonly onFirstToken: () => void
  readonly onEnd: () => void
}

export interface BatchRunnerOptions {
  readonly clock: VirtualClock
  readonly slots: number
  /** Capacity of the prefix cache, in blocks. */
  readonly cacheBlocks: number
  readonly onStored?: (block: number) => void
  readonly onRemoved?: (block: number) => void
}

export const tokensPerBlock = 64
const prefillMillisecondsPerToken = 0.1
const decodeMillisecondsPerToken = 14
/** Added to the decode time of each token if every slot is in use; scales linearly with the slots in use. */
const addedDecodeMillisecondsAtFullLoad = 14

interface Prefill {
  readonly request: RunnerRequest
  readonly milliseconds: number
}

export class BatchRunner {
  running = 0
  computeMilliseconds = 0
  failed = false
  private readonly waiting: RunnerRequest[] = []
  private readonly cache = new Map<number, undefined>()
  private readonly interactivePrefills: Prefill[] = []
  private readonly batchPrefills: Prefill[] = []
  private isPrefilling = false

  constructor (private readonly options: BatchRunnerOptions) {}

  get queued (): number {
    return this.waiting.length
  }

  get slots (): number {
    return this.options.slots
  }

  submit (request: RunnerRequest): void {
    if (this.running < this.options.slots) this.start(request)
    else this.waiting.push(request)
  }

  cachedTokens (blocks: readonly number[]): number {
    const missing = blocks.findIndex((block) => !this.cache.has(block))
    return (missing < 0 ? blocks.length : missing) * tokensPerBlock
  }

  clearCache (): void {
    for (const block of this.cache.keys()) this.options.onRemoved?.(block)
    this.cache.clear()
  }

  private start (request: RunnerRequest): void {
    this.running += 1
    const uncachedTokens = Math.max(0, request.promptTokens - this.cachedTokens(request.blocks))
    this.store(request.blocks)
    const prefill = { request, milliseconds: uncachedTokens * prefillMillisecondsPerToken }
    if (request.priority === PriorityClass.Interactive) this.interactivePrefills.push(prefill)
    else this.batchPrefills.push(prefill)
    if (!this.isPrefilling) this.prefillNext()
  }

  private prefillNext (): void {
    const next = this.interactivePrefills.shift() ?? this.batchPrefills.shift()
    this.isPrefilling = next !== undefined
    if (next === undefined) return
    this.options.clock.schedule(next.milliseconds, () => {
      this.decode(next)
      this.prefillNext()
    })
  }

  private decode ({ request, milliseconds }: Prefill): void {
    const { clock, slots } = this.options
    const tokenMilliseconds = decodeMillisecondsPerToken + addedDecodeMillisecondsAtFullLoad * this.running / slots
    const decodeMilliseconds = request.outputTokens * tokenMilliseconds
    this.computeMilliseconds += milliseconds + decodeMilliseconds / slots
    clock.schedule(tokenMilliseconds, request.onFirstToken)
    clock.schedule(tokenMilliseconds + decodeMilliseconds, () => this.end(request))
  }

  private end (request: RunnerRequest): void {
    this.running -= 1
    const next = this.waiting.shift()
    if (next !== undefined) this.start(next)
    request.onEnd()
  }

  private store (blocks: readonly number[]): void {
    for (const block of blocks) {
      if (!this.cache.delete(block)) this.options.onStored?.(block)
      this.cache.set(block, undefined)
    }
    for (const oldest of this.cache.keys()) {
      if (this.cache.size <= this.options.cacheBlocks) return
      this.cache.delete(oldest)
      this.options.onRemoved?.(oldest)
    }
  }
}
