/**
 * Writes text to a descriptor in the thread pool, since process.stdout blocks
 * the event loop while a pipe is full. A pipe may take only a part of a text; one
 * that doesn't block may take nothing of it for some time.
 */

import { write } from 'node:fs'

/** Pause until the next try to write to a full pipe that doesn't block. */
const fullPipePauseMilliseconds = 10

/** Calls `done` when the next write may start; with an error if the rest of the text can't be written. */
export const writeDescriptor = (descriptor: number, text: string, done: (error?: Error) => void): void => {
  const bytes = Buffer.from(text)
  const writeFrom = (offset: number): void => {
    write(descriptor, bytes, offset, (error, count) => {
      if (error?.code === 'EAGAIN') setTimeout(() => writeFrom(offset), fullPipePauseMilliseconds)
      else if (error !== null) done(error)
      else if (offset + count < bytes.length) writeFrom(offset + count)
      else done()
    })
  }
  writeFrom(0)
}
