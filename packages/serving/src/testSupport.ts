/**
 * Builders for tests of the serving package.
 */

import { toFailureDomainId, toRegionId, toRouteName, toTeamId, toUpstreamId } from '@cuminvale/common'
import type { AdmittedRequest, AnnouncedUpstream, AttemptId, PromptPartId, RequestHead, Route, ServedTeam, ServiceName, Service, SoftwareVersion } from './types.js'

export { ManualClock } from '@cuminvale/common'

export const engine = 'engine' as ServiceName
export const desk = 'desk' as ServiceName
export const north = toRegionId('north')
export const south = toRegionId('south')
export const northA = toFailureDomainId('north-a')
export const southA = toFailureDomainId('south-a')

export const regionOf = (domain: string): ReturnType<typeof toRegionId> => domain.startsWith('north') ? north : south

export const engineService: Service = {
  name: engine, connectionsPerUpstream: 400, coldSeconds: 3, coldRequestsPerSecond: 10, isEngine: true, slots: 64, memoryTokens: 300_000
}

export const deskService: Service = {
  name: desk, connectionsPerUpstream: 100, coldSeconds: 0, coldRequestsPerSecond: 0, isEngine: false, slots: 6, memoryTokens: 0
}

export const findService = (service: ServiceName): Service => service === engine ? engineService : deskService

export const announced = (id: string, changes: Partial<AnnouncedUpstream> = {}): AnnouncedUpstream => ({
  id: toUpstreamId(id),
  service: engine,
  host: '127.0.0.1',
  port: 80,
  failureDomain: northA,
  slots: 64,
  isLeaving: false,
  leavesInMilliseconds: undefined,
  coldMilliseconds: 0,
  startedAt: 1,
  softwareVersion: 'v1' as SoftwareVersion,
  ...changes
})

export const route = (changes: Partial<Route> = {}): Route => ({
  name: toRouteName('r'),
  host: 'h.example',
  pathPrefix: '/r/',
  kind: 'stream',
  isResumable: false,
  timeoutMilliseconds: 6_000,
  objectiveMilliseconds: 800,
  priority: 1,
  targets: [{ service: engine, weight: 1 }],
  maximumAttempts: 1,
  isPublic: false,
  homes: [],
  ...changes
})

export const team = (changes: Partial<ServedTeam> = {}): ServedTeam => ({
  id: toTeamId('bindery'), keys: ['key-1'], priority: undefined, countsTokens: true, plainTokens: 200, ratePerSecond: 1_000, burst: 1_000, homes: [], ...changes
})

export const head = (changes: Partial<RequestHead> = {}): RequestHead => ({
  attempt: 'a1' as AttemptId,
  resumes: undefined,
  method: 'POST',
  host: 'h.example',
  path: '/r/1',
  key: 'key-1',
  deadlineMilliseconds: 6_000,
  tokens: undefined,
  parts: [],
  headers: [],
  ...changes
})

export const admitted = (changes: Partial<AdmittedRequest> = {}): AdmittedRequest => ({
  head: head(),
  attempt: 'a1' as AttemptId,
  route: route(),
  service: engine,
  team: undefined,
  priority: 1,
  yieldsToMoreUrgent: false,
  regions: undefined,
  isRepeatable: false,
  charge: 0,
  configurationVersion: 1,
  ...changes
})

export const part = (id: string, tokens: number): { id: PromptPartId, tokens: number } => ({ id: id as PromptPartId, tokens })
