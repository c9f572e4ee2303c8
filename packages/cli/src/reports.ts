/**
 * Formats the results of the commands as text for people.
 */

import type { DocumentChange } from '@cuminvale/documents'
import { formatTable } from './table.js'
import type { VmAnswer, VmStatus } from './fleetClient.js'

const readinessOf = (status: VmStatus): string => {
  if (status.draining) return 'draining'
  return status.ready ? 'ready' : 'not ready'
}

const statusRow = ({ address, answer, error }: VmAnswer): readonly string[] => {
  if (error !== undefined) return ['-', '-', address, '-', `no answer: ${error}`, '-', '-']
  const status = answer as VmStatus
  return [
    status.vm, status.region, address, String(status.revision ?? '-'), readinessOf(status),
    String(status.activeRequests), String(status.queueLength)
  ]
}

export const formatStatus = (answers: readonly VmAnswer[]): string => formatTable([
  ['VM', 'REGION', 'ADDRESS', 'REVISION', 'READINESS', 'ACTIVE', 'QUEUED'],
  ...answers.map(statusRow)
])

export interface Explanation {
  readonly team: string
  readonly route: string
  readonly plan: string
  readonly allowedRegions: readonly string[]
  readonly result: string
  readonly reason?: string
  readonly detail: string
  readonly choice?: { readonly upstream?: string, readonly runnerUp?: string, readonly region?: string, readonly vm?: string }
}

const resultOf = ({ result, reason, choice }: Explanation): string => {
  if (result === 'refused') return `refused: ${reason ?? ''}`
  if (result === 'run') return `run on ${choice?.upstream ?? ''}`
  return result === 'forward' ? `forward to ${choice?.vm ?? ''} in ${choice?.region ?? ''}` : result
}

export const formatExplanation = (explanation: Explanation): string => formatTable([
  ['team', `${explanation.team} (plan ${explanation.plan})`],
  ['route', explanation.route],
  ['regions', explanation.allowedRegions.join(', ')],
  ['result', resultOf(explanation)],
  ['runner-up', explanation.choice?.runnerUp ?? '-'],
  ['detail', explanation.detail]
])

const fieldsOf = (value: unknown): Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null ? value as Record<string, unknown> : {}

/** Formats a change to an entry. If the entry was changed, each differing field follows with its old and new value. */
export const formatChange = (change: DocumentChange): string => {
  const heading = `${change.kind} ${change.document} "${change.name}"`
  if (change.kind !== 'changed') return heading
  const [before, after] = [fieldsOf(change.before), fieldsOf(change.after)]
  const fields = [...new Set([...Object.keys(before), ...Object.keys(after)])]
    .filter((field) => JSON.stringify(before[field]) !== JSON.stringify(after[field]))
    .map((field) => `  ${field}: ${JSON.stringify(before[field]) ?? 'nothing'} -> ${JSON.stringify(after[field]) ?? 'nothing'}`)
  return [heading, ...fields].join('\n')
}
