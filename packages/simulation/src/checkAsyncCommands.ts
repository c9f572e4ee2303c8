/**
 * Runs a fast-check property over an asynchronous system as one batch of a
 * soak suite.
 */

import * as fastCheck from 'fast-check'
import type { SoakViolation } from './soakSuite.js'

export interface AsyncCommandCheck<Model extends object, Real> {
  readonly seed: number
  readonly runs: number
  readonly commands: Parameters<typeof fastCheck.commands<Model, Real, true>>[0]
  readonly maximumCommands: number
  /** Creates a model and a system for each sequence. `finish` runs after its commands and checks the final state. */
  readonly setup: () => { model: Model, real: Real }
  readonly finish: (real: Real) => Promise<void>
}

export const checkAsyncCommands = async <Model extends object, Real>(
  check: AsyncCommandCheck<Model, Real>
): Promise<SoakViolation | undefined> => {
  const property = fastCheck.asyncProperty(
    fastCheck.commands(check.commands, { maxCommands: check.maximumCommands, size: 'max' }),
    async (commands) => {
      const created = check.setup()
      await fastCheck.asyncModelRun(() => created, commands as never)
      await check.finish(created.real)
    }
  )
  const result = await fastCheck.check(property, { seed: check.seed, numRuns: check.runs })
  if (!result.failed) return undefined
  return {
    seed: check.seed,
    detail: result.errorInstance instanceof Error ? result.errorInstance.message : String(result.errorInstance),
    trace: result.counterexample === null ? '' : String(result.counterexample[0])
  }
}
