/**
 * What an answer tells the caller about the execution of its request.
 * `not-run` guarantees that the request was never sent to an upstream and
 * never will be.
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
