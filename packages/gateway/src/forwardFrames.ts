/**
 * Frames of a forwarded request's answer: a kind, a length, and the content.
 * An answer is complete only with its end frame.
 */

import { pack, unpack } from 'msgpackr'
import type { FailureKind } from './answerSink.js'
import type { Refusal } from '@cuminvale/common'
import type { AdmittedRequest } from '@cuminvale/serving'

export const FrameKind = { Received: 1, Head: 2, Data: 3, End: 4, Refused: 5, Failed: 6 } as const
export type FrameKind = typeof FrameKind[keyof typeof FrameKind]

export interface ForwardedHead {
  readonly status: number
  readonly headers: readonly string[]
}

export interface ForwardedFailure {
  readonly kind: FailureKind
  readonly detail: string
}

export interface ForwardEnvelope {
  readonly request: Omit<AdmittedRequest, 'regions'> & { readonly regions: readonly string[] | undefined }
  readonly remainingMilliseconds: number
  readonly onTimeMilliseconds: number
  readonly attemptsLeft: number
  readonly resumeAfter: string | undefined
}

export interface Frame {
  readonly kind: number
  readonly content: Buffer
}

const headerBytes = 5
const longestFrameBytes = 16_777_216

export const frameOf = (kind: FrameKind, content?: Buffer): Buffer => {
  const header = Buffer.allocUnsafe(headerBytes)
  header.writeUInt8(kind, 0)
  header.writeUInt32BE(content?.length ?? 0, 1)
  return content === undefined ? header : Buffer.concat([header, content])
}

export const packedFrame = (kind: FrameKind, value: ForwardedHead | ForwardedFailure | Refusal): Buffer => frameOf(kind, pack(value))

export const unpackFrame = <Value>({ content }: Frame): Value => unpack(content) as Value

/** Puts frames together from the pieces in which they arrive. */
export class FrameReader {
  private held: Buffer | undefined

  push (chunk: Buffer): readonly Frame[] {
    let buffer = this.held === undefined ? chunk : Buffer.concat([this.held, chunk])
    const frames: Frame[] = []
    while (buffer.length >= headerBytes) {
      const length = buffer.readUInt32BE(1)
      if (length > longestFrameBytes) throw new RangeError(`a frame of ${length} bytes is longer than ${longestFrameBytes}`)
      if (buffer.length < headerBytes + length) break
      frames.push({ kind: buffer.readUInt8(0), content: buffer.subarray(headerBytes, headerBytes + length) })
      buffer = buffer.subarray(headerBytes + length)
    }
    this.held = buffer.length === 0 ? undefined : buffer
    return frames
  }
}

/** A forwarded request on the wire: the envelope's length, the envelope, the body. */
export const packForward = (envelope: ForwardEnvelope, body: Buffer | null): Buffer => {
  const packed = pack(envelope)
  const length = Buffer.allocUnsafe(4)
  length.writeUInt32BE(packed.length, 0)
  return body === null ? Buffer.concat([length, packed]) : Buffer.concat([length, packed, body])
}

export const unpackForward = (message: Buffer): { readonly envelope: ForwardEnvelope, readonly body: Buffer | null } => {
  if (message.length < 4) throw new RangeError('a forwarded request without an envelope')
  const end = 4 + message.readUInt32BE(0)
  if (end > message.length) throw new RangeError(`an envelope of ${end} bytes in a message of ${message.length}`)
  const envelope = unpack(message.subarray(4, end)) as ForwardEnvelope
  return { envelope, body: end === message.length ? null : message.subarray(end) }
}
