/**
 * Counts what a VM holds for callers, over all connections, bodies and answers,
 * in bytes as they cost. When there is no room, those give way first that hold
 * most and are furthest behind (docs/decisions/055-memory-for-callers.md).
 */

import { millisecondsPerSecond } from '@cuminvale/common'
import { BlockPool } from './blockBuffer.js'
import type { Clock } from '@cuminvale/common'

/** Holders of more may not use the part of the memory that is left for ordinary requests. */
const ordinaryBytes = 65_536
const longHolderShare = 0.75
/** Share of the limit down to which room is made, so that not each growth looks for the next holder. */
const roomShare = 0.95
/** Time for which a whole body still takes memory after it is dropped: until the collector has come, also on a busy machine. */
const collectingMilliseconds = 500
/** Rate at which what comes or goes moves a holder on in time. */
const progressBytesPerSecond = 65_536

export interface HolderOptions {
  /** Gives the memory back; called at most once. */
  readonly giveWay: () => void
  readonly canGiveWay: () => boolean
}

export class MemoryHolder {
  private held = 0
  private hasEnded = false
  /** Whether its memory is free only once it is collected. */
  private isCollected = false
  /** Time up to which its bytes would have come at the rate of progress. */
  private progressAt: number

  constructor (private readonly memory: CallerMemory, private readonly options: HolderOptions) {
    this.progressAt = memory.now
  }

  get bytes (): number {
    return this.held
  }

  get canGiveWay (): boolean {
    return this.options.canGiveWay()
  }

  /** How much it holds for how long without progress. */
  rank (now: number): number {
    return this.held * (1 + now - this.progressAt)
  }

  /** False if there is no room, or if it had to give way itself. What it holds is counted all the same until it is released. */
  grow (bytes: number): boolean {
    if (this.hasEnded) return false
    this.held += bytes
    return this.memory.add(bytes, this) && !this.hasEnded
  }

  /** Sets what it holds, in one piece that no other holder uses afterwards. */
  holdWhole (bytes: number): void {
    this.isCollected = true
    this.resize(bytes)
  }

  /** Sets what it holds. */
  resize (bytes: number): boolean {
    return this.grow(bytes - this.held)
  }

  recordProgress (bytes: number): void {
    this.progressAt = Math.min(this.memory.now, this.progressAt + bytes * millisecondsPerSecond / progressBytesPerSecond)
  }

  /** Begins anew, as a holder that has just come. */
  restart (): void {
    this.progressAt = this.memory.now
  }

  release (): void {
    if (this.hasEnded) return
    this.hasEnded = true
    this.memory.remove(this)
    if (this.isCollected && this.held > ordinaryBytes) this.memory.recordDropped(this.held)
  }

  /** Called by CallerMemory. */
  giveWay (): void {
    this.release()
    this.options.giveWay()
  }
}

export interface CallerMemoryOptions {
  readonly clock: Clock
  readonly maximumBytes: number
  /** Called for each holder that gives way. */
  readonly onGivenWay?: (bytes: number) => void
}

export class CallerMemory {
  /** The memory of bodies. */
  readonly blocks = new BlockPool()
  private used = 0
  /** What was dropped, and is not collected yet, the oldest first. */
  private readonly dropped: Array<{ readonly bytes: number, readonly collectedAt: number }> = []
  private droppedBytes = 0
  private readonly holders = new Set<MemoryHolder>()

  constructor (private readonly options: CallerMemoryOptions) {}

  get total (): number {
    return this.used
  }

  /** Whether all of it is used, though all have given way that can. */
  get isFull (): boolean {
    return this.used > this.options.maximumBytes
  }

  get now (): number {
    return this.options.clock.monotonic()
  }

  hold (options: HolderOptions): MemoryHolder {
    const holder = new MemoryHolder(this, options)
    this.holders.add(holder)
    return holder
  }

  /** Counts bytes of a holder; false if they don't fit, whoever gives way. */
  add (bytes: number, holder: MemoryHolder): boolean {
    this.used += bytes
    const { maximumBytes } = this.options
    const limit = holder.bytes > ordinaryBytes ? maximumBytes * longHolderShare : maximumBytes
    return bytes <= 0 || this.used <= limit || this.makeRoom(limit, holder)
  }

  /** Whether there would be room, but for what was dropped and isn't collected yet. */
  get awaitsCollection (): boolean {
    return this.used + this.countDropped() > this.options.maximumBytes
  }

  /** Counts bytes that nobody holds any more, until they are collected. */
  recordDropped (bytes: number): void {
    this.dropped.push({ bytes, collectedAt: this.now + collectingMilliseconds })
    this.droppedBytes += bytes
  }

  remove (holder: MemoryHolder): void {
    if (this.holders.delete(holder)) this.used -= holder.bytes
  }

  /** Lets the one give way that holds most and is furthest behind; false if all must stay. */
  giveWayOne (): boolean {
    const [worst] = this.ranked()
    if (worst !== undefined) this.letGiveWay(worst)
    return worst !== undefined
  }

  letGiveWay (holder: MemoryHolder): void {
    this.options.onGivenWay?.(holder.bytes)
    holder.giveWay()
  }

  private countDropped (): number {
    const { now } = this
    for (let [oldest] = this.dropped; oldest !== undefined && oldest.collectedAt <= now; [oldest] = this.dropped) {
      this.dropped.shift()
      this.droppedBytes -= oldest.bytes
    }
    return this.droppedBytes
  }

  private makeRoom (limit: number, grown: MemoryHolder): boolean {
    for (const holder of this.ranked()) {
      if (this.used <= limit * roomShare) break
      // One that gave way may have taken others with it.
      if (!this.holders.has(holder)) continue
      this.letGiveWay(holder)
      if (holder === grown) break
    }
    return this.used <= limit
  }

  /** Those that can give way, the first one first. */
  private ranked (): readonly MemoryHolder[] {
    const { now } = this
    return [...this.holders].filter(({ canGiveWay }) => canGiveWay).map((holder) => ({ holder, rank: holder.rank(now) }))
      .sort((first, second) => second.rank - first.rank).map(({ holder }) => holder)
  }
}
