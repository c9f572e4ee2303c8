import { describe, expect, it } from 'vitest'
import { toIncarnationId, toRouteName, toTeamId, toVmId } from '@cuminvale/common'
import { mergeUsage } from './mergeUsage.js'
import type { UsageReport } from './usageAccount.js'

const report = (vm: string, sequence: number, isFinal = false): UsageReport => ({
  vm: toVmId(vm),
  incarnation: toIncarnationId(`${vm}-i`),
  sequence,
  isFinal,
  counts: [{ team: toTeamId('luzon-roads'), route: toRouteName('dispatch'), requests: sequence, weighted: 5 * sequence, tokens: 7 * sequence }]
})

const answer = (vm: string, reports: readonly UsageReport[]) => ({ self: report(vm, 0), reports, dropped: [] })

describe('mergeUsage', () => {
  it('counts each incarnation once, by its highest sequence', () => {
    const merged = mergeUsage([
      answer('vm-1', [report('vm-1', 4), report('vm-2', 2)]), answer('vm-2', [report('vm-2', 3), report('vm-1', 1)])
    ])
    expect(merged).toMatchObject({ counts: [{ requests: 7, weighted: 35, tokens: 49 }], gaps: [] })
  })

  it.each<[string, boolean, number]>([
    ['reports a gap for an open account that is known only from a copy', false, 1],
    ['reports no gap for a final account that is known only from a copy', true, 0]
  ])('%s', (_, isFinal, gaps) => {
    const merged = mergeUsage([answer('vm-1', [report('vm-1', 4), report('vm-2', 2, isFinal)])])
    expect(merged.counts).toMatchObject([{ requests: 6 }])
    expect(merged.gaps).toHaveLength(gaps)
  })

  it('reports a gap for a dropped account that no other VM holds', () => {
    const merged = mergeUsage([{ ...answer('vm-1', [report('vm-1', 4)]), dropped: [report('vm-3', 0)] }])
    expect(merged.gaps).toEqual([{ vm: 'vm-3', incarnation: 'vm-3-i', knownRequests: 0 }])
  })
})
