/**
 * Authenticates the frames of a link between two VMs, without encrypting them.
 * Both ends derive the same session key from their handshake. Each frame starts
 * with a message authentication code (MAC) over its position in the stream and
 * its payload. Verification thus detects frames that were inserted, changed,
 * repeated, dropped or reflected.
 */

import { createHmac, timingSafeEqual } from 'node:crypto'

const macBytes = 16
const counterBytes = 8

export const deriveSessionKey = (secret: Uint8Array, transcript: string): Buffer =>
  createHmac('sha256', secret).update(`session\n${transcript}`).digest()

/** Each direction has its own key, so that a frame reflected to its sender fails verification. */
const deriveDirectionKey = (sessionKey: Uint8Array, sender: string): Buffer =>
  createHmac('sha256', sessionKey).update(sender).digest()

const computeMac = (key: Uint8Array, counter: bigint, payload: Uint8Array): Buffer => {
  const encodedCounter = Buffer.alloc(counterBytes)
  encodedCounter.writeBigUInt64BE(counter)
  return createHmac('sha256', key).update(encodedCounter).update(payload).digest().subarray(0, macBytes)
}

export class FrameSealer {
  private readonly key: Buffer
  private counter = 0n

  constructor (sessionKey: Uint8Array, sender: string) {
    this.key = deriveDirectionKey(sessionKey, sender)
  }

  seal (payload: Uint8Array): Buffer {
    const mac = computeMac(this.key, this.counter, payload)
    this.counter += 1n
    return Buffer.concat([mac, payload])
  }
}

export class FrameOpener {
  private readonly key: Buffer
  private counter = 0n

  constructor (sessionKey: Uint8Array, sender: string) {
    this.key = deriveDirectionKey(sessionKey, sender)
  }

  /** Returns the payload, or undefined if the frame is not the next one from this sender. */
  open (frame: Uint8Array): Uint8Array | undefined {
    const payload = frame.subarray(macBytes)
    const mac = frame.subarray(0, macBytes)
    const expected = computeMac(this.key, this.counter, payload)
    if (mac.length !== macBytes || !timingSafeEqual(mac, expected)) return undefined
    this.counter += 1n
    return payload
  }
}
