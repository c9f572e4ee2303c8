/**
 * Messages of each kind that VMs exchange, with all optional fields and with
 * none, as the production build knows them. That build has
 * encoded them for the fixtures, and tests compare what is read with them.
 */

import { RefusalReason, refuse, toFailureDomainId, toIncarnationId, toRegionId, toRouteName, toTeamId, toUpstreamId, toVmId } from '@cuminvale/common'
import { AnswerFailureKind } from './answerSink.js'
import type { AdmittedRequest, AttemptId, PeerIdentity, PromptPartId, ServiceName, SoftwareVersion } from '@cuminvale/serving'
import type { Refusal } from '@cuminvale/common'
import type { ForwardEnvelope, ForwardedFailure, ForwardedHead } from './forwardFrames.js'
import type { DomainDigest, LinkMessage, PackedMember, RegionReport } from './linkMessages.js'

const service = 'desk' as ServiceName
const north = toRegionId('north')
const south = toRegionId('south')
const northA = toFailureDomainId('north-a')
const bindery = toTeamId('bindery')
const u0 = toUpstreamId('u0')
const part = 'p1' as PromptPartId
const softwareVersion = 'v1' as SoftwareVersion
const position = 2 ** 40 + 7

const identity: PeerIdentity = {
  vm: toVmId('vm-1'), incarnation: toIncarnationId('i1'), region: north, failureDomain: northA, linkAddress: '127.0.0.1:7001', callerAddress: '127.0.0.1:8001', processorCapacity: 1.5
}
const other: PeerIdentity = { ...identity, vm: toVmId('vm-2'), incarnation: toIncarnationId('i2'), callerAddress: '' }
const members: readonly PackedMember[] = [[identity, true], [other, false]]
const reporter = { vm: identity.vm, incarnation: identity.incarnation, sequence: 9 }
const knowledge = { at: position, recordAge: 12.5 }

const smallReport: RegionReport = { kind: 'region-report', region: north, ...reporter, at: position, spent: [], forecasts: [], parts: [], departed: [] }
const report: RegionReport = {
  ...smallReport, spent: [[bindery, 41.5]], forecasts: [[service, 3, 20.5, 4]], room: [[service, 750]], need: [[service, 12]], parts: [part], members, departed: [other]
}
const smallDigest: DomainDigest = { domain: northA, ...reporter, processorCapacity: 3, spent: [], loads: [], parts: [], departed: [] }
const digest: DomainDigest = { ...smallDigest, spent: [[bindery, 7]], loads: [[u0, 2, 300]], parts: [[u0, [part]]], members, departed: [other] }

export const linkMessageSamples: Readonly<Record<string, LinkMessage>> = {
  hello: {
    kind: 'hello', identity, at: position, known: [other], isAsking: true, regions: [[south, members]], domains: [[northA, members]], parts: [[u0, [part]]], regionParts: [[south, [part]]], performance: [[service, 5, 10, 0.5, 20, 30]]
  },
  'hello without options': { kind: 'hello', identity, at: 0, known: [], isAsking: false },
  heartbeat: {
    kind: 'heartbeat', sequence: 4, steadyMilliseconds: 1234.5, isReady: true, ...knowledge, spent: [[bindery, 3]], isSpentFull: true, unreached: [u0], loads: [[u0, 1, 250]], parts: [[u0, [part]]], reports: [report, smallReport]
  },
  'heartbeat without options': { kind: 'heartbeat', sequence: 1, steadyMilliseconds: 0, isReady: false, at: 0, recordAge: Infinity, spent: [], isSpentFull: false, loads: [], parts: [], reports: [] },
  'region-report': report,
  'region-report without options': smallReport,
  digest: { kind: 'digest', steadyMilliseconds: 99, own: digest, relayed: [digest, smallDigest], reports: [report], ...knowledge },
  'digest without options': { kind: 'digest', steadyMilliseconds: 99, own: smallDigest, relayed: [], reports: [], ...knowledge },
  acknowledgement: { kind: 'acknowledgement', sequence: 4 },
  leaving: { kind: 'leaving', identity },
  'upstream-leaving': { kind: 'upstream-leaving', upstream: u0, startedAt: 17 },
  'upstream-leaving without options': { kind: 'upstream-leaving', upstream: u0, startedAt: undefined },
  'upstream-limits': { kind: 'upstream-limits', vm: identity.vm, incarnation: identity.incarnation, limits: [[u0, 17, 2.5, 30, 8], [u0, undefined, null, 0, 0]] },
  'crash-evidence': { kind: 'crash-evidence', observations: [['o1', u0, service, 15, [['digest', [part]], ['other', []]]]], completions: [[service, part, 44]] },
  'stream-origins': { kind: 'stream-origins', origins: [[service, softwareVersion, Buffer.from('0102030405060708090a0b0c', 'hex')]], isAnswer: true },
  'stream-origins without options': { kind: 'stream-origins', origins: [] },
  'stream-question': { kind: 'stream-question', keys: Buffer.from('010203040506', 'hex'), hops: 2 },
  'records-request': { kind: 'records-request', after: position },
  'record-changes': { kind: 'record-changes', after: position, at: position + 2, changes: [['upstreams/u0', '{"a":1}', position + 1], ['upstreams/u1', null, position + 2]], lapseGrace: 500 },
  records: { kind: 'records', at: position, records: [['configuration', '{}', position]], lapsing: [['upstreams/u1', 400]] }
}

const request: AdmittedRequest = {
  head: { attempt: 'a1' as AttemptId, resumes: undefined, method: 'POST', host: '', path: '/orders/1?x=2', key: undefined, deadlineMilliseconds: 800, tokens: { prompt: 10, output: 2 }, parts: [{ id: part, tokens: 8 }], headers: ['x-a', 'caf\u00e9'] },
  attempt: 'a1' as AttemptId,
  route: { name: toRouteName('orders'), host: '', pathPrefix: '', kind: 'stream', isResumable: true, objectiveMilliseconds: 500, timeoutMilliseconds: 1_500, maximumAttempts: 3, priority: 2, targets: [], isPublic: false, homes: [] },
  service,
  team: { id: bindery, keys: [], priority: undefined, countsTokens: false, plainTokens: 0, ratePerSecond: 0, burst: 0, homes: [] },
  priority: 2,
  yieldsToMoreUrgent: false,
  regions: new Set([north, south]),
  isRepeatable: true,
  charge: 0,
  configurationVersion: 4
}
const body = Buffer.from('body\u0000\u00ff', 'latin1')
const times = { remainingMilliseconds: 800, onTimeMilliseconds: -20, attemptsLeft: 2 }

export interface ForwardSample {
  readonly envelope: ForwardEnvelope
  readonly body: Buffer | null
}

export const forwardSamples: Readonly<Record<string, ForwardSample>> = {
  'with a software version': { envelope: { request, ...times, resumeAfter: '7', softwareVersion }, body },
  'without a software version': { envelope: { request, ...times, resumeAfter: undefined, softwareVersion: undefined }, body },
  'without options': {
    envelope: { request: { ...request, head: { ...request.head, tokens: undefined, parts: [], headers: [] }, team: undefined, regions: undefined, isRepeatable: false }, ...times, resumeAfter: undefined, softwareVersion: undefined }, body: null
  }
}

const head: ForwardedHead = { status: 200, headers: ['content-type', 'text/event-stream'], softwareVersion }

export const headSamples: Readonly<Record<string, ForwardedHead>> = { head, 'head without options': { status: 404, headers: [] } }
export const refusalSamples: Readonly<Record<string, Refusal>> = {
  'refusal with a time': refuse(RefusalReason.Draining, 'it stops', { retryAfterMilliseconds: 250 }),
  'refusal without options': refuse(RefusalReason.NoUpstream, 'full')
}
export const failureSamples: Readonly<Record<string, ForwardedFailure>> = Object.fromEntries(Object.values(AnswerFailureKind).map((kind) => [kind, { kind, detail: 'reset' }]))
export const dataSample = body
