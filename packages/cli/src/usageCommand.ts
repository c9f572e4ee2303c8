/**
 * `cuminvale usage`: completed requests by team and route, merged from the
 * reports of every VM of the fleet so that no request is counted twice.
 */

import { command } from 'cmd-ts'
import { mergeUsage } from '@cuminvale/metering'
import type { MergedUsage, UsageReport, VmUsage } from '@cuminvale/metering'
import { exitCodeFailed } from './constants.js'
import { callFleet } from './fleetClient.js'
import { sharedArguments } from './fleetCommands.js'
import { print, printJson } from './output.js'

interface UsageAnswer extends Pick<UsageReport, 'vm' | 'incarnation'> {
  readonly reports: readonly UsageReport[]
  readonly dropped: ReadonlyArray<Pick<UsageReport, 'vm' | 'incarnation'>>
}

interface UnansweredVm {
  readonly address: string
  readonly error: string
}

const columnWidth = 24

const toVmUsage = ({ vm, incarnation, reports, dropped }: UsageAnswer): VmUsage =>
  ({ self: { vm, incarnation }, reports, dropped })

const printUsage = ({ counts, gaps }: MergedUsage, unanswered: readonly UnansweredVm[]): void => {
  print(['team', 'route', 'requests', 'weighted', 'tokens'].map((text) => text.padEnd(columnWidth)).join('').trimEnd())
  for (const { team, route, requests, weighted, tokens } of counts) {
    print([team, route, requests, weighted, tokens].map((cell) => String(cell).padEnd(columnWidth)).join('').trimEnd())
  }
  for (const { vm, incarnation, knownRequests } of gaps) {
    print(`gap: ${vm} (${incarnation}) is known up to ${knownRequests} requests; later ones may be missing`)
  }
  for (const { address, error } of unanswered) print(`gap: ${address} did not answer: ${error}`)
}

export const usageCommand = command({
  name: 'usage',
  description: 'Completed requests by team and route, from all VMs, each counted once',
  args: sharedArguments,
  handler: async ({ vm, tokenFile, json }) => {
    const answers = await callFleet({ vm, tokenFile, path: '/administration/usage' })
    const answered = answers.flatMap(({ answer }) => answer === undefined ? [] : [toVmUsage(answer as UsageAnswer)])
    const unanswered = answers.flatMap(({ address, error }): readonly UnansweredVm[] =>
      error === undefined ? [] : [{ address, error }])
    const merged = mergeUsage(answered)
    if (unanswered.length > 0 || merged.gaps.length > 0) process.exitCode = exitCodeFailed
    return json ? printJson({ ...merged, unanswered }) : printUsage(merged, unanswered)
  }
})
