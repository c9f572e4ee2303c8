/**
 * The random number generator that is passed to code that makes random
 * choices. With a seeded generator, a run can be reproduced.
 */

export interface Random {
  /** Uniformly distributed in [0, 1). */
  next (): number
}

export const runtimeRandom: Random = { next: () => Math.random() }

/** Deterministic generator (mulberry32) for tests, soak runs and measurements. */
export class SeededRandom implements Random {
  private state: number

  constructor (seed: number) {
    this.state = seed >>> 0
  }

  next (): number {
    this.state = (this.state + 0x6D2B79F5) >>> 0
    let mixed = this.state
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
}

/** Chooses an element with uniform probability; undefined if the list is empty. */
export const pickOne = <Item>(items: readonly Item[], random: Random): Item | undefined =>
  items[Math.floor(random.next() * items.length)]
