/**
 * Runs a fast-check property as one batch of a soak suite.
 */

import * as fastCheck from 'fast-check'
import type { SoakViolation } from './soakSuite.js'

export interface CommandCheck<Model extends object, Real> {
  readonly seed: number
  readonly runs: number
  readonly commands: Parameters<typeof fastCheck.commands<Model, Real>>[0]
  readonly maximumCommands: number
  /** How far sequences grow towards the maximum; fast-check's default if absent. */
  readonly size?: 'max'
  /** Creates a model and a system for each sequence. `finish` runs after its commands and checks the final state. */
  readonly setup: () => { model: Model, real: Real }
  readonly finish?: (real: Real, model: Model) => void
}

export const checkCommands = async <Model extends object, Real>(
  check: CommandCheck<Model, Real>
): Promise<SoakViolation | undefined> => {
  const property = fastCheck.asyncProperty(
    fastCheck.commands(check.commands, {
      maxCommands: check.maximumCommands, ...(check.size === undefined ? {} : { size: check.size })
    }),
    async (commands) => {
      let created: { model: Model, real: Real } | undefined
      fastCheck.modelRun(() => {
        created = check.setup()
        return created
      }, commands as never)
      if (created !== undefined) check.finish?.(created.real, created.model)
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
