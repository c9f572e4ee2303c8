/**
 * `npm run soak -- --seed N --seconds S [--suite NAME]` runs batches of every
 * selected suite under rising seeds until the time is up. The exit code is 1
 * after any violation.
 */

import { parseArgs } from 'node:util'
import { SoakTally } from './soakSuite.js'
import { soakSuites } from './soakSuites.js'
import type { SoakSuite, SoakViolation } from './soakSuite.js'

interface SuiteReport {
  readonly suite: SoakSuite
  readonly tally: SoakTally
  batches: number
  readonly violations: SoakViolation[]
}

const print = (text: string): void => {
  process.stdout.write(text + '\n')
}

const runBatch = async (report: SuiteReport, seed: number): Promise<void> => {
  const violation = await report.suite.run(seed, report.tally)
  report.batches += 1
  if (violation === undefined) return
  report.violations.push(violation)
  print(`VIOLATION ${report.suite.name} seed ${violation.seed}: ${violation.detail}\n  trace: ${violation.trace}`)
}

const summarise = ({ suite, tally, batches, violations }: SuiteReport): string => {
  const faults = [...tally.faults].map(([kind, count]) => `${kind} ${count}`).join(', ')
  return `${suite.name}: ${batches} batches, ${tally.operations} operations, faults: ${faults || 'none'}; ${violations.length} violations`
}

const run = async (): Promise<void> => {
  const { values } = parseArgs({
    options: {
      seed: { type: 'string', default: '1' },
      seconds: { type: 'string', default: '10' },
      suite: { type: 'string', multiple: true }
    }
  })
  const suites = soakSuites.filter(({ name }) => values.suite === undefined || values.suite.includes(name))
  const reports = suites.map((suite): SuiteReport => ({ suite, tally: new SoakTally(), batches: 0, violations: [] }))
  const endAt = performance.now() + Number(values.seconds) * 1_000
  for (let seed = Number(values.seed); performance.now() < endAt; seed += 1) {
    for (const report of reports) await runBatch(report, seed)
  }
  reports.forEach((report) => print(summarise(report)))
  process.exitCode = reports.some(({ violations }) => violations.length > 0) ? 1 : 0
}

run().catch((error: unknown) => {
  process.stderr.write(`soak failed: ${error instanceof Error ? error.stack ?? error.message : String(error)}\n`)
  process.exitCode = 1
})
