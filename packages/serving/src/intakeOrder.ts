/**
 * Order in which requests that wait for the processor are started: by rank, then
 * by the turn in which they were read, then by the work that was started lately
 * for their teams.
 */

import type { TeamId } from '@cuminvale/common'

interface Ranked {
  readonly rank: number
  readonly team: TeamId | undefined
}

export interface WaitingItem<Item extends Ranked> {
  readonly item: Item
  readonly readAt: number
  /** Number of the turn in which it was read. */
  readonly turn: number
}

/** Orders by rank and by turn. Adaptive LIFO: with newestFirst, what has waited in a standing queue doesn't delay what can still be served on time. */
export const compareWaiting = <Item extends Ranked>(a: WaitingItem<Item>, b: WaitingItem<Item>, newestFirst: boolean): number =>
  a.item.rank - b.item.rank || (newestFirst ? b.turn - a.turn : a.turn - b.turn)

/** Index of the item of the least served team, among those that rank equal to the one at the index `first`. */
export const leastServed = <Item extends Ranked>(
  waiting: ReadonlyArray<WaitingItem<Item>>, first: number, isReady: (item: WaitingItem<Item>) => boolean, workOf: (team: TeamId | undefined) => number
): number => {
  const head = waiting[first]
  if (head === undefined) return -1
  const work = new Map<TeamId | undefined, number>()
  let best = first
  let least = Infinity
  for (let index = first; index < waiting.length; index += 1) {
    const candidate = waiting[index]
    if (candidate === undefined || !isReady(candidate)) continue
    if (candidate.item.rank !== head.item.rank || candidate.turn !== head.turn) break
    const { team } = candidate.item
    let started = work.get(team)
    if (started === undefined) work.set(team, started = workOf(team))
    if (started >= least) continue
    least = started
    best = index
  }
  return best
}
