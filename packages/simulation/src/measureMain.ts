/**
 * Entry point of `npm run measure -- [--deployment NAME] [--seed N] [--decision NAME]... [--json]`.
 * Prints one row per scenario and policy, as a table or as JSON.
 */

import { parseArgs } from 'node:util'
import { MeasuredDeployment } from './measureScenario.js'
import { measureScenarios } from './measureScenarios.js'
import type { MeasureRow } from './measureScenario.js'

const columns: ReadonlyArray<keyof MeasureRow> = [
  'decision', 'policy', 'scenario', 'cost', 'tailLatencyMilliseconds', 'sentAwayShare', 'worstTeamShare',
  'wrongfulRefusalShare', 'overspendTokens',
  'unknownOutcomeShare'
]
const significantDigits = 4

const cell = (value: MeasureRow[keyof MeasureRow]): string => {
  if (value === null || value === undefined) return '-'
  return typeof value === 'number' ? String(Number(value.toPrecision(significantDigits))) : value
}

const printTable = (rows: readonly MeasureRow[]): void => {
  const lines = [columns.map(String), ...rows.map((row) => columns.map((column) => cell(row[column])))]
  const widths = columns.map((_, index) => Math.max(...lines.map((line) => line[index]?.length ?? 0)))
  for (const line of lines) {
    process.stdout.write(line.map((text, index) => text.padEnd(widths[index] ?? 0)).join('  ').trimEnd() + '\n')
  }
}

const run = async (): Promise<void> => {
  const { values } = parseArgs({
    options: {
      deployment: { type: 'string', default: MeasuredDeployment.Cooperativa },
      seed: { type: 'string', default: '1' },
      decision: { type: 'string', multiple: true },
      json: { type: 'boolean', default: false }
    }
  })
  const deployment = Object.values(MeasuredDeployment).find((name) => name === values.deployment)
  if (deployment === undefined) {
    process.stderr.write(`unknown deployment "${values.deployment}"; expected one of: ${Object.values(MeasuredDeployment).join(', ')}\n`)
    process.exitCode = 2
    return
  }
  const chosen = measureScenarios.filter(({ decision }) => values.decision === undefined || values.decision.includes(decision))
  const rows: MeasureRow[] = []
  for (const scenario of chosen) rows.push(...await scenario.run(deployment, Number(values.seed)))
  if (values.json) process.stdout.write(JSON.stringify(rows, null, 2) + '\n')
  else printTable(rows)
}

run().catch((error: unknown) => {
  process.stderr.write(`measure failed: ${error instanceof Error ? error.stack ?? error.message : String(error)}\n`)
  process.exitCode = 1
})
