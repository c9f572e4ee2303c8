/**
 * Differences between two configurations, shown to operators before they
 * publish.
 */

import { isDeepStrictEqual } from 'node:util'
import { documentNames } from './types.js'
import type { Configuration, DocumentName } from './types.js'

export const ChangeKind = { Added: 'added', Removed: 'removed', Changed: 'changed' } as const
export type ChangeKind = typeof ChangeKind[keyof typeof ChangeKind]

export interface DocumentChange {
  readonly document: DocumentName
  readonly kind: ChangeKind
  readonly name: string
  readonly before?: unknown
  readonly after?: unknown
}

const diffMaps = (
  document: DocumentName,
  before: ReadonlyMap<string, unknown>,
  after: ReadonlyMap<string, unknown>
): DocumentChange[] => {
  const changes: DocumentChange[] = []
  for (const [name, value] of before) {
    if (!after.has(name)) changes.push({ document, kind: ChangeKind.Removed, name, before: value })
  }
  for (const [name, value] of after) {
    if (!before.has(name)) {
      changes.push({ document, kind: ChangeKind.Added, name, after: value })
    } else if (!isDeepStrictEqual(before.get(name), value)) {
      changes.push({ document, kind: ChangeKind.Changed, name, before: before.get(name), after: value })
    }
  }
  return changes
}

export const diffConfigurations = (before: Configuration, after: Configuration): DocumentChange[] =>
  documentNames.flatMap((name) => diffMaps(name, before[name], after[name]))
