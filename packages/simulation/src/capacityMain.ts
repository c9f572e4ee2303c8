/**
 * Entry point of `npm run capacity [-- --json]`. Prints the cost of each
 * mechanism per node at the target's size, and their total beside the target's
 * limits.
 */

import { parseArgs } from 'node:util'
import { capacityProbes } from './capacityProbes.js'
import { target } from './target.js'
import type { CapacityRow } from './capacityProbe.js'

const fractionDigits = 3

const sum = (rows: readonly CapacityRow[], field: 'perNodeCorePercent' | 'perNodeMegabytes' | 'perNodeKilobytesPerSecond'): number =>
  rows.reduce((total, row) => total + row[field], 0)

const totalOf = (rows: readonly CapacityRow[]): CapacityRow => ({
  mechanism: 'total',
  perNodeCorePercent: sum(rows, 'perNodeCorePercent'),
  perNodeMegabytes: sum(rows, 'perNodeMegabytes'),
  perNodeKilobytesPerSecond: sum(rows, 'perNodeKilobytesPerSecond'),
  carriedBy: `bounds: ${target.controlPlaneCorePercent}% of a core, ${target.controlPlaneMegabytes} MB, ${target.controlPlaneKilobytesPerSecond} KB/s`,
  samples: []
})

const formatRow = (row: CapacityRow): string =>
  `${row.mechanism.padEnd(24)} ${row.perNodeCorePercent.toFixed(fractionDigits).padStart(8)} % of a core ` +
  `${row.perNodeMegabytes.toFixed(fractionDigits).padStart(8)} MB ${row.perNodeKilobytesPerSecond.toFixed(fractionDigits).padStart(8)} KB/s  ${row.carriedBy}`

const run = (): void => {
  const { values } = parseArgs({ options: { json: { type: 'boolean', default: false } } })
  const measured = capacityProbes.map((probe) => probe.measure())
  const rows = [...measured, totalOf(measured)]
  if (values.json) process.stdout.write(JSON.stringify(rows, null, 2) + '\n')
  else rows.forEach((row) => process.stdout.write(formatRow(row) + '\n'))
}

run()
