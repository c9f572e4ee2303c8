/**
 * Parses one document and validates it against its schema. Each fault is
 * reported with its line number.
 */

import { findNodeAtLocation, parseTree, printParseErrorCode } from 'jsonc-parser'
import { Result } from 'true-myth'
import type { Node, ParseError } from 'jsonc-parser'
import type { z } from 'zod'
import { documentSchemas } from './schemas.js'
import type { DocumentFault } from './documentFault.js'
import type { DocumentName } from './types.js'

type ValuePath = ReadonlyArray<string | number>

/** A valid document; `fault` builds faults with line numbers for checks that follow. */
export interface ParsedDocument<Name extends DocumentName> {
  readonly value: z.output<(typeof documentSchemas)[Name]>
  readonly fault: (path: ValuePath, detail: string) => DocumentFault
}

const lineNumberAt = (text: string, offset: number): number => text.slice(0, offset).split('\n').length

const formatPath = (path: ValuePath): string =>
  path.map((part, index) => typeof part === 'number' ? `[${part}]` : index === 0 ? part : `.${part}`).join('')

const deepestNodeOnPath = (root: Node | undefined, path: ValuePath): Node | undefined => {
  if (root === undefined) return undefined
  for (let length = path.length; length >= 0; length -= 1) {
    const node = findNodeAtLocation(root, path.slice(0, length))
    if (node !== undefined) return node
  }
  return root
}

const nodeToValue = (node: Node): unknown => {
  if (node.type === 'array') return (node.children ?? []).map(nodeToValue)
  if (node.type !== 'object') return node.value
  const entries = (node.children ?? []).map((property) => [property.children?.[0]?.value, property.children?.[1]] as const)
  return Object.fromEntries(entries.map(([name, child]) => [name, child === undefined ? undefined : nodeToValue(child)]))
}

const syntaxFaults = (name: DocumentName, text: string, errors: readonly ParseError[]): DocumentFault[] =>
  errors.map((error) => ({
    document: name,
    line: lineNumberAt(text, error.offset),
    path: name,
    detail: `not valid JSON: ${printParseErrorCode(error.error)}`
  }))

export const parseDocument = <Name extends DocumentName>(
  name: Name,
  text: string
): Result<ParsedDocument<Name>, readonly DocumentFault[]> => {
  const errors: ParseError[] = []
  const root = parseTree(text, errors, { disallowComments: false, allowTrailingComma: true })
  if (root === undefined) {
    return Result.err([{ document: name, line: 1, path: name, detail: 'the document is empty' }])
  }
  if (errors.length > 0) return Result.err(syntaxFaults(name, text, errors))
  const fault = (path: ValuePath, detail: string): DocumentFault => ({
    document: name,
    line: lineNumberAt(text, deepestNodeOnPath(root, path)?.offset ?? 0),
    path: formatPath(path) || name,
    detail
  })
  const parsed = documentSchemas[name].safeParse(nodeToValue(root))
  if (!parsed.success) {
    return Result.err(parsed.error.issues.map((issue) => fault(issue.path as ValuePath, issue.message)))
  }
  return Result.ok({ value: parsed.data as z.output<(typeof documentSchemas)[Name]>, fault })
}
