import { Readable } from 'node:stream'
import { describe, expect, it } from 'vitest'
import { ReadLimit } from './readLimit.js'
import type { Socket } from 'node:net'

const maximumBytes = 16_384
const longestPieceBytes = 4_096

/** A connection on which bytes have arrived. */
const receive = (bytes: number): Socket => {
  const socket = Object.assign(new Readable({ read: () => { /* all has arrived */ }, highWaterMark: 1_048_576 }), { bytesRead: bytes })
  socket.on('error', () => { /* asserted by destroyed */ })
  socket.push(Buffer.alloc(bytes, 'a: b\r\n'))
  return socket as unknown as Socket
}

/** What the parser is given until there is nothing more. */
const readAll = (socket: Socket, onPiece: () => void = () => { /* no progress */ }): readonly number[] => {
  const pieces: number[] = []
  for (let piece = socket.read() as Buffer | null; piece !== null; piece = socket.read() as Buffer | null) {
    pieces.push(piece.length)
    onPiece()
  }
  return pieces
}

describe('ReadLimit', () => {
  // Guards against a VM that is busy for a fifth of a second with the short header fields of one answer, since the parser was given all that had arrived.
  it('gives the parser short pieces, and nothing beyond the limit', () => {
    const socket = receive(131_072)
    new ReadLimit(maximumBytes).watch(socket)
    const pieces = readAll(socket)
    expect(Math.max(...pieces)).toBeLessThanOrEqual(longestPieceBytes)
    expect(pieces.reduce((sum, length) => sum + length, 0)).toBeLessThanOrEqual(maximumBytes + longestPieceBytes)
    expect(socket.destroyed).toBe(true)
  })

  it('gives it all that makes progress', () => {
    const socket = receive(131_072)
    const limit = new ReadLimit(maximumBytes)
    limit.watch(socket)
    expect(readAll(socket, () => limit.mark()).reduce((sum, length) => sum + length, 0)).toBe(131_072)
    expect(socket.destroyed).toBe(false)
  })

  // Guards against a VM that is busy for seconds with answers in chunks of a byte.
  it.each([[1, true], [2, true], [5, false], [100, false]])('counts chunks of %i bytes with what frames them', (chunkBytes, isClosed) => {
    const socket = receive(262_144)
    const limit = new ReadLimit(maximumBytes)
    limit.watch(socket)
    const framedBytes = chunkBytes + 5
    let framed = 0
    for (let piece = socket.read() as Buffer | null; piece !== null; piece = socket.read() as Buffer | null) {
      for (framed += piece.length; framed >= framedBytes; framed -= framedBytes) limit.recordBody(chunkBytes)
    }
    expect(socket.destroyed).toBe(isClosed)
  })

  it('gives it no more after the connection was closed', () => {
    const socket = receive(32_768)
    new ReadLimit(maximumBytes).watch(socket)
    expect(readAll(socket, () => socket.destroy())).toEqual([longestPieceBytes])
  })
})
