/**
 * Encodes messages for the links between VMs. Bytes that do not decode to a
 * known message are reported as an error, never passed on.
 */

import { Packr } from 'msgpackr'
import { Result } from 'true-myth'
import { isPeerMessage } from './peerMessage.js'
import { CodecError } from './errors.js'
import type { PeerMessage } from './peerMessage.js'

const packr = new Packr({ useRecords: false })

export const encodePeerMessage = (message: PeerMessage): Uint8Array => packr.pack(message)

export const decodePeerMessage = (bytes: Uint8Array): Result<PeerMessage, CodecError> => {
  try {
    const value: unknown = packr.unpack(bytes)
    return isPeerMessage(value) ? Result.ok(value) : Result.err(new CodecError('unknown kind of message'))
  } catch (error) {
    return Result.err(new CodecError(error instanceof Error ? error.message : 'undecodable bytes'))
  }
}
