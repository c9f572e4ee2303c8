/**
 * The daemon's INI settings, validated as a whole at start. Every fault is reported with its file,
 * section and key, the value read and the values allowed.
 */

import { readFileSync } from 'node:fs'
import { isIP } from 'node:net'
import { parse } from 'ini'
import { Result } from 'true-myth'
import { z } from 'zod'
import { isIdentifier, toFailureDomainId, toRegionId, toVmId } from '@cuminvale/common'
import type { SettingFault } from './errors.js'

const identifierSchema = z.string().refine(isIdentifier, { error: '1 to 63 lower-case letters, digits, dots, dashes or underscores' })
const integer = (minimum: number, maximum: number) =>
  z.coerce.number({ error: `a whole number from ${minimum} to ${maximum}` }).int().min(minimum).max(maximum)
const decimal = (minimum: number, maximum: number) =>
  z.coerce.number({ error: `a number from ${minimum} to ${maximum}` }).min(minimum).max(maximum)
const portSchema = integer(0, 65_535)
const originSchema = z.string().regex(/^https?:\/\/[^/]+$/, 'http://host:port or https://host:port')
const fileNameSchema = z.string().min(1, 'the name of a readable file')

const settingsSchema = z.strictObject({
  vm: z.strictObject({
    name: identifierSchema.transform(toVmId),
    region: identifierSchema.transform(toRegionId),
    'failure-domain': identifierSchema.transform(toFailureDomainId)
  }),
  listen: z.strictObject({
    host: z.string().refine((value) => isIP(value) !== 0, { error: 'an IP address' }),
    'caller-port': portSchema,
    'peer-port': portSchema,
    'administration-port': portSchema
  }),
  platform: z.strictObject({
    'configuration-service': originSchema,
    'vm-list': originSchema,
    'client-directory': originSchema,
    'weight-store': originSchema,
    /** Upper bound on the age of the data that the VM list returns. */
    'vm-list-lag-milliseconds': integer(0, 60_000).default(2_000)
  }),
  security: z.strictObject({
    'fleet-secret-file': fileNameSchema,
    'administration-token-file': fileNameSchema
  }),
  requests: z.strictObject({
    'header-limit-bytes': integer(1_024, 1_048_576).default(16_384),
    'header-count-limit': integer(10, 2_000).default(100),
    'body-timeout-milliseconds': integer(100, 600_000).default(10_000),
    'queue-capacity': integer(1, 1_000_000).default(2_000)
  }).prefault({}),
  policy: z.strictObject({
    'tail-latency-weight': decimal(0.1, 10).default(1),
    'wrongful-refusals-weight': decimal(0.1, 10).default(1),
    'tokens-per-vm': integer(1, 1e9).default(10_000),
    'requests-per-vm': integer(1, 1e6).default(200),
    'deadline-slack': decimal(0.1, 100).default(1.5),
    'batch-aging-milliseconds': integer(0, 3_600_000).default(5_000),
    'reserved-slot-share': decimal(0, 0.9).default(0.25),
    'sending-away-gain': decimal(1, 100).default(1.5),
    'region-link-megabits-per-second': decimal(1, 1_000_000).default(100),
    'region-link-share': decimal(0, 1).default(0.5),
    'interactive-head-start-tokens': integer(0, 1e9).default(20_000)
  }).prefault({})
})

export type Settings = z.output<typeof settingsSchema>

const valueAt = (source: unknown, path: readonly PropertyKey[]): unknown =>
  path.reduce<unknown>((value, key) => (value as Record<PropertyKey, unknown> | undefined)?.[key], source)

const describeValue = (value: unknown): string => value === undefined ? 'nothing' : JSON.stringify(value)

export const parseSettings = (file: string, text: string): Result<Settings, readonly SettingFault[]> => {
  const source: unknown = JSON.parse(JSON.stringify(parse(text)))
  const parsed = settingsSchema.safeParse(source)
  if (parsed.success) return Result.ok(parsed.data)
  return Result.err(parsed.error.issues.flatMap((issue) => {
    const unknownKeys = issue.code === 'unrecognized_keys' ? issue.keys : undefined
    const paths = unknownKeys === undefined ? [issue.path] : unknownKeys.map((key) => [...issue.path, key])
    return paths.map((path): SettingFault => ({
      file,
      section: String(path[0] ?? ''),
      key: path.slice(1).map(String).join('.') || '(section)',
      read: describeValue(valueAt(source, path)),
      allowed: unknownKeys === undefined ? issue.message : 'no such key'
    }))
  }))
}

export const readSettings = (file: string): Result<Settings, readonly SettingFault[]> => {
  try {
    return parseSettings(file, readFileSync(file, 'utf8'))
  } catch (error) {
    const read = error instanceof Error ? error.message : String(error)
    return Result.err([{ file, section: '', key: '(file)', read, allowed: 'a readable INI file' }])
  }
}
