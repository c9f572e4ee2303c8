/**
 * Branded identifiers used across the system. The `to…` functions don't check
 * the value: it has been validated before, for example by a document schema.
 */

import { randomBytes } from 'node:crypto'
import type { Brand } from './brand.js'

export type VmId = Brand<string, 'VmId'>
/** Identifies one run of the gateway process on a VM; a restart gets a new id. */
export type IncarnationId = Brand<string, 'IncarnationId'>
export type TeamId = Brand<string, 'TeamId'>
export type PlanName = Brand<string, 'PlanName'>
export type RegionId = Brand<string, 'RegionId'>
export type FailureDomainId = Brand<string, 'FailureDomainId'>
export type UpstreamId = Brand<string, 'UpstreamId'>
export type RouteName = Brand<string, 'RouteName'>
export type ModelName = Brand<string, 'ModelName'>
export type RequestId = Brand<string, 'RequestId'>
/** Lower-case hexadecimal SHA-256 of a caller's key. */
export type KeyDigest = Brand<string, 'KeyDigest'>
/** Position in the history of the configuration service; a larger number is newer. */
export type Revision = Brand<number, 'Revision'>

export const toVmId = (value: string): VmId => value as VmId
export const toIncarnationId = (value: string): IncarnationId => value as IncarnationId
export const toTeamId = (value: string): TeamId => value as TeamId
export const toPlanName = (value: string): PlanName => value as PlanName
export const toRegionId = (value: string): RegionId => value as RegionId
export const toFailureDomainId = (value: string): FailureDomainId => value as FailureDomainId
export const toUpstreamId = (value: string): UpstreamId => value as UpstreamId
export const toRouteName = (value: string): RouteName => value as RouteName
export const toModelName = (value: string): ModelName => value as ModelName
export const toRequestId = (value: string): RequestId => value as RequestId
export const toKeyDigest = (value: string): KeyDigest => value as KeyDigest
export const toRevision = (value: number): Revision => value as Revision

const incarnationBytes = 9

/** The id is random and long enough that no earlier run of any VM has had the same one. */
export const newIncarnationId = (): IncarnationId =>
  randomBytes(incarnationBytes).toString('base64url') as IncarnationId

/** Request ids consist of the incarnation and a counter, so they are unique in the fleet and never reused. */
export class RequestIdGenerator {
  private counter = 0

  constructor (private readonly incarnation: IncarnationId) {}

  next (): RequestId {
    this.counter += 1
    return `${this.incarnation}-${this.counter}` as RequestId
  }
}
