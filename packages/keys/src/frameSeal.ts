/**
 * Authenticates each frame of a link between two VMs. Both ends derive the
 * same session key from their handshake; every frame carries a code over its
 * place in the stream and its bytes, so that a frame that was added, changed,
 * repeated, left out or sent back is found.
 */

import { createHmac, timingSafeEqual } from 'node:crypto'

const codeBytes = 16
const counterBytes = 8

export const deriveSessionKey = (secret: Uint8Array, transcript: string): Buffer =>
  createHmac('sha256', secret).update(`session\n${transcript}`).digest()

/** Keys of the two directions differ, so that a frame cannot be sent back. */
const directionKey = (sessionKey: Uint8Array, sender: string): Buffer =>
  createHmac('sha256', sessionKey).update(sender).digest()

const codeOf = (key: Uint8Array, counter: bigint, payload: Uint8Array): Buffer => {
  const place = Buffer.alloc(counterBytes)
  place.writeBigUInt64BE(counter)
  return createHmac('sha256', key).update(place).update(payload).digest().subarray(0, codeBytes)
}

export class FrameSealer {
  private readonly key: Buffer
  private counter = 0n

  constructor (sessionKey: Uint8Array, sender: string) {
    this.key = directionKey(sessionKey, sender)
  }

  seal (payload: Uint8Array): Buffer {
    const code = codeOf(this.key, this.counter, payload)
    this.counter += 1n
    return Buffer.concat([code, payload])
  }
}

export class FrameOpener {
  private readonly key: Buffer
  private counter = 0n

  constructor (sessionKey: Uint8Array, sender: string) {
    this.key = directionKey(sessionKey, sender)
  }

  /** The payload; undefined where the frame is not the next of this sender. */
  open (frame: Uint8Array): Uint8Array | undefined {
    const payload = frame.subarray(codeBytes)
    const code = frame.subarray(0, codeBytes)
    const expected = codeOf(this.key, this.counter, payload)
    if (code.length !== codeBytes || !timingSafeEqual(code, expected)) return undefined
    this.counter += 1n
    return payload
  }
}
