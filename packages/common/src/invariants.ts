/**
 * Assertions of invariants at run time. A violation throws by default, which
 * fails a test. In production a listener counts and logs violations instead.
 */

export class InvariantError extends Error {
  constructor (readonly invariant: string, detail: string) {
    super(`invariant ${invariant} violated: ${detail}`)
    this.name = 'InvariantError'
  }
}

export type InvariantListener = (error: InvariantError) => void

const throwViolation: InvariantListener = (error) => {
  throw error
}

let listener: InvariantListener = throwViolation

/** Replaces the default listener, which throws; production code sets one that doesn't. */
export const onInvariantViolation = (replacement: InvariantListener): void => {
  listener = replacement
}

/** Reports a violation of the named invariant if the condition is false; `detail` is called only in that case. */
export const assertInvariant = (condition: boolean, invariant: string, detail: () => string): void => {
  if (condition) return
  listener(new InvariantError(invariant, detail()))
}
