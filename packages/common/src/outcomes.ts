/**
 * What a caller may conclude from an answer. `not-run` is a promise: the
 * request was never sent to an upstream and never will be.
 */

export const Outcome = {
  Done: 'done',
  NotRun: 'not-run',
  Unknown: 'unknown'
} as const

export type Outcome = typeof Outcome[keyof typeof Outcome]

export const PriorityClass = {
  Interactive: 'interactive',
  Batch: 'batch'
} as const

export type PriorityClass = typeof PriorityClass[keyof typeof PriorityClass]
