/**
 * Encoding of requests that one gateway process forwards to another, and of
 * their answers. An answer is a sequence of frames: kind, length, content. It
 * is complete only with its end frame.
 */

import { pack, unpack } from 'msgpackr'
import { checkEnvelope } from './checkEnvelope.js'
import { messageFormat } from './messageFormat.js'
import type { AnswerFailureKind } from './answerSink.js'
import type { Refusal, RegionId, RouteName, TeamId } from '@cuminvale/common'
import type { AdmittedRequest, AttemptId, PromptPartId, RequestKind, ServiceName, SoftwareVersion } from '@cuminvale/serving'

export const FrameKind = { Received: 1, Head: 2, Data: 3, End: 4, Refused: 5, Failed: 6 } as const
export type FrameKind = typeof FrameKind[keyof typeof FrameKind]

export interface ForwardedHead {
  readonly status: number
  readonly headers: readonly string[]
  /** Software version of the upstream that answers; absent if it isn't known for certain. */
  readonly softwareVersion?: SoftwareVersion | undefined
}

export interface ForwardedFailure {
  readonly kind: AnswerFailureKind
  readonly detail: string
}

/** What the other VM needs of an admitted request; route and key are not checked again there. */
export interface ForwardEnvelope {
  readonly request: AdmittedRequest
  readonly remainingMilliseconds: number
  /** Time left until the first answer is due by the route's objective; negative if it has passed. */
  readonly onTimeMilliseconds: number
  /** Number of sends to upstreams that the other VM may make. */
  readonly attemptsLeft: number
  /** Id of the event after which a stream is resumed. */
  readonly resumeAfter: string | undefined
  /** Software version that a stream must go on at; undefined for one that begins. */
  readonly softwareVersion: SoftwareVersion | undefined
}

export interface Frame {
  readonly kind: number
  readonly content: Buffer
}

const frameKinds: readonly number[] = Object.values(FrameKind)

export const isKnownFrame = ({ kind }: Frame): boolean => frameKinds.includes(kind)

const frameHeaderBytes = 5
/** Longer than an event with the read in which it ends; all else that a VM passes on is shorter. */
const maximumFrameBytes = 2_097_152

export const encodeFrame = (kind: FrameKind, content?: Buffer): Buffer => {
  const header = Buffer.allocUnsafe(frameHeaderBytes)
  header.writeUInt8(kind, 0)
  header.writeUInt32BE(content?.length ?? 0, 1)
  return content === undefined ? header : Buffer.concat([header, content])
}

export const encodePackedFrame = (kind: FrameKind, value: ForwardedHead | ForwardedFailure | Refusal): Buffer => encodeFrame(kind, pack(value))

export const decodePackedContent = <Value>({ content }: Frame): Value => unpack(content) as Value

/** Reassembles frames from the chunks in which they arrive. */
export class FrameDecoder {
  /** Bytes of a frame that has not arrived in full. */
  private held: Buffer | undefined

  push (chunk: Buffer): readonly Frame[] {
    let buffer = this.held === undefined ? chunk : Buffer.concat([this.held, chunk])
    const frames: Frame[] = []
    while (buffer.length >= frameHeaderBytes) {
      const length = buffer.readUInt32BE(1)
      if (length > maximumFrameBytes) throw new RangeError(`a frame of ${length} bytes is longer than ${maximumFrameBytes}`)
      if (buffer.length < frameHeaderBytes + length) break
      frames.push({ kind: buffer.readUInt8(0), content: buffer.subarray(frameHeaderBytes, frameHeaderBytes + length) })
      buffer = buffer.subarray(frameHeaderBytes + length)
    }
    this.held = buffer.length === 0 ? undefined : buffer
    return frames
  }
}

/** Encodes the envelope as a list of values; field names would be half of the bytes between regions. */
const encodeEnvelope = ({ request, remainingMilliseconds, onTimeMilliseconds, attemptsLeft, resumeAfter, softwareVersion }: ForwardEnvelope): readonly unknown[] => {
  const { head, route } = request
  return [
    request.attempt, head.method, head.path, head.headers, head.tokens?.prompt, head.tokens?.output,
    head.parts.map(({ id, tokens }) => [id, tokens]),
    route.name, route.kind, route.isResumable, route.objectiveMilliseconds, route.timeoutMilliseconds, route.maximumAttempts,
    request.service, request.team?.id, request.priority, request.regions === undefined ? undefined : [...request.regions],
    request.isRepeatable, request.configurationVersion,
    Math.round(remainingMilliseconds), Math.round(onTimeMilliseconds), attemptsLeft, resumeAfter,
    // VMs of an earlier version take no longer row, and could not keep to the version.
    ...softwareVersion === undefined ? [] : [softwareVersion]
  ]
}

type EnvelopeRow = readonly [
  AttemptId, string, string, readonly string[], number | undefined, number | undefined,
  ReadonlyArray<readonly [PromptPartId, number]>,
  RouteName, RequestKind, boolean, number, number, number,
  ServiceName, TeamId | undefined, number, readonly RegionId[] | undefined,
  boolean, number,
  number, number, number, string | undefined,
  SoftwareVersion?
]

const envelopeRowLength = 23
/** With the software version that a stream must go on at. */
const longEnvelopeRowLength = 24

const decodeEnvelope = (row: EnvelopeRow, format: number): ForwardEnvelope => {
  const isKnownLength = row.length === envelopeRowLength || row.length === longEnvelopeRowLength
  // The further values of a newer build come last and mean nothing here.
  const isNewer: boolean = row.length > longEnvelopeRowLength && format > messageFormat
  if (!isKnownLength && !isNewer) throw new RangeError(`forwarded request has ${row.length} values, expected ${envelopeRowLength} or ${longEnvelopeRowLength}`)
  checkEnvelope(row)
  const [
    attempt, method, path, headers, prompt, output, parts, name, kind, isResumable, objectiveMilliseconds, timeoutMilliseconds, maximumAttempts,
    service, teamId, priority, regions, isRepeatable, configurationVersion, remainingMilliseconds, onTimeMilliseconds, attemptsLeft, resumeAfter, softwareVersion
  ] = row
  return {
    request: {
      head: {
        attempt,
        resumes: undefined,
        method,
        host: '',
        path,
        key: undefined,
        deadlineMilliseconds: remainingMilliseconds,
        tokens: prompt == null || output == null ? undefined : { prompt, output },
        parts: parts.map(([id, tokens]) => ({ id, tokens })),
        headers
      },
      attempt,
      route: {
        name, kind, isResumable, objectiveMilliseconds, timeoutMilliseconds, maximumAttempts, host: '', pathPrefix: '', priority, targets: [], isPublic: false, homes: []
      },
      service,
      team: teamId == null ? undefined : { ...forwardedTeam, id: teamId },
      priority,
      yieldsToMoreUrgent: false,
      regions: regions == null ? undefined : new Set(regions),
      isRepeatable,
      charge: 0,
      configurationVersion
    },
    remainingMilliseconds,
    onTimeMilliseconds,
    attemptsLeft,
    resumeAfter: resumeAfter ?? undefined,
    softwareVersion: softwareVersion ?? undefined
  }
}

/** Placeholder values of a forwarded team: its rate and keys are checked by the VM that forwards. */
const forwardedTeam = { keys: [], priority: undefined, countsTokens: false, plainTokens: 0, ratePerSecond: 0, burst: 0, homes: [] } as const

/** Encodes a forwarded request: length of the envelope, envelope, body. */
export const encodeForward = (envelope: ForwardEnvelope, body: Buffer | null): Buffer => {
  const packed = pack(encodeEnvelope(envelope))
  const length = Buffer.allocUnsafe(4)
  length.writeUInt32BE(packed.length, 0)
  return body === null ? Buffer.concat([length, packed]) : Buffer.concat([length, packed, body])
}

/** The format is that of the sender. */
export const decodeForward = (message: Buffer, format = messageFormat): { readonly envelope: ForwardEnvelope, readonly body: Buffer | null } => {
  if (message.length < 4) throw new RangeError('forwarded request is shorter than its length field')
  const envelopeEnd = 4 + message.readUInt32BE(0)
  if (envelopeEnd > message.length) throw new RangeError(`envelope of the forwarded request ends at byte ${envelopeEnd}, but the message has only ${message.length} bytes`)
  const envelope = decodeEnvelope(unpack(message.subarray(4, envelopeEnd)) as EnvelopeRow, format)
  return { envelope, body: envelopeEnd === message.length ? null : message.subarray(envelopeEnd) }
}
