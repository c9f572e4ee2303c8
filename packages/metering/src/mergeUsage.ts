/**
 * Merges the usage reports of all VMs into one bill. Only the report with the
 * highest sequence of each incarnation counts, so that nothing is billed twice.
 */

import type { UsageCount } from '@cuminvale/messages'
import { accountKey } from './usageAccount.js'
import type { AccountId, UsageReport } from './usageAccount.js'

export interface VmUsage {
  /** The reporting VM and its incarnation. */
  readonly self: AccountId
  readonly reports: readonly UsageReport[]
  readonly dropped: readonly AccountId[]
}

/** Usage that may be missing from a bill. */
export interface UsageGap extends AccountId {
  /** Number of requests that are counted; later ones may be missing. */
  readonly knownRequests: number
}

export interface MergedUsage {
  readonly counts: readonly UsageCount[]
  readonly gaps: readonly UsageGap[]
}

export const mergeUsage = (vms: readonly VmUsage[]): MergedUsage => {
  const newest = new Map<string, UsageReport>()
  for (const report of vms.flatMap(({ reports }) => reports)) {
    const before = newest.get(accountKey(report))
    const isNewer = before === undefined || report.sequence > before.sequence || (report.isFinal && !before.isFinal)
    if (isNewer && report.sequence >= (before?.sequence ?? 0)) newest.set(accountKey(report), report)
  }
  const answeringAccounts = new Set(vms.map(({ self }) => accountKey(self)))
  const openReports = [...newest.values()].filter((report) => !report.isFinal && !answeringAccounts.has(accountKey(report)))
  const missingAccounts = vms.flatMap(({ dropped }) => dropped).filter((id) => !newest.has(accountKey(id)))
  return {
    counts: sumCounts([...newest.values()].flatMap(({ counts }) => counts)),
    gaps: uniqueGaps([
      ...openReports.map(({ vm, incarnation, sequence }) => ({ vm, incarnation, knownRequests: sequence })),
      ...missingAccounts.map(({ vm, incarnation }) => ({ vm, incarnation, knownRequests: 0 }))
    ])
  }
}

const sumCounts = (counts: readonly UsageCount[]): readonly UsageCount[] => {
  const sums = new Map<string, UsageCount>()
  for (const count of counts) {
    const key = `${count.team} ${count.route}`
    const before = sums.get(key)
    sums.set(key, before === undefined
      ? count
      : {
          ...count,
          requests: before.requests + count.requests,
          weighted: before.weighted + count.weighted,
          tokens: before.tokens + count.tokens
        })
  }
  return [...sums.values()]
}

const uniqueGaps = (gaps: readonly UsageGap[]): readonly UsageGap[] =>
  [...new Map(gaps.map((gap) => [accountKey(gap), gap])).values()]
