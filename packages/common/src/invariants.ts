/**
 * Invariants asserted where decisions are taken. A violation is fatal in
 * tests; in production a listener counts and logs it.
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

/** Replaces the fatal default, for production use. */
export const onInvariantViolation = (replacement: InvariantListener): void => {
  listener = replacement
}

/** Reports a violation of the named invariant unless the condition holds. */
export const assertInvariant = (condition: boolean, invariant: string, detail: () => string): void => {
  if (condition) return
  listener(new InvariantError(invariant, detail()))
}
