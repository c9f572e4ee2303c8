/**
 * Encodes messages for the links between VMs as MessagePack. Bytes that do not
 * decode to a known kind of message give an error and are never passed on.
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
    return isPeerMessage(value) ? Result.ok(value) : Result.err(new CodecError('unknown message kind'))
  } catch (error) {
    return Result.err(new CodecError(error instanceof Error ? error.message : 'invalid MessagePack data'))
  }
}
