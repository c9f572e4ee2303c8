/**
 * Limits the bytes that are read from a connection between two marks, whatever
 * they are. Undici limits the fields of a head and of trailers only, and goes on
 * to the end of the bytes that it has read: it reads informational heads, reason
 * phrases, chunk lengths and extensions, and blank lines without end. So it is
 * given the bytes in short pieces, and none beyond the limit.
 */

import type { Socket } from 'node:net'

/** A piece of the shortest header fields takes the parser a few milliseconds. */
const maximumPieceBytes = 4_096

export class ReadLimit {
  private socket: Socket | undefined
  /** Bytes that the parser had taken at the last mark. */
  private bytesAtMark = 0

  constructor (private readonly maximumBytes: number) {}

  /** Watches a new connection, which is closed when the limit is exceeded. */
  watch (socket: Socket): void {
    this.socket = socket
    this.bytesAtMark = 0
    const read = socket.read.bind(socket)
    socket.read = (size?: number): unknown => {
      if (socket.destroyed) return null
      if (parsedBytes(socket) - this.bytesAtMark > this.maximumBytes) {
        socket.destroy(new Error(`over ${this.maximumBytes} bytes in a row are more than an answer may have here`))
        return null
      }
      return size === undefined && socket.readableLength > maximumPieceBytes ? read(maximumPieceBytes) : read(size)
    }
  }

  /** Begins to count anew. */
  mark (): void {
    if (this.socket !== undefined) this.bytesAtMark = parsedBytes(this.socket)
  }

  /** Counts bytes of a body, which make up for as many bytes that are none; chunks of a byte or two cost the parser more than they bring. */
  recordBody (bytes: number): void {
    if (this.socket !== undefined) this.bytesAtMark = Math.min(parsedBytes(this.socket), this.bytesAtMark + 2 * bytes)
  }
}

const parsedBytes = (socket: Socket): number => socket.bytesRead - socket.readableLength
