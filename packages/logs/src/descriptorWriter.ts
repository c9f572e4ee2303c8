/**
 * Writes text to a descriptor in the thread pool, since process.stdout blocks
 * the event loop while a pipe is full.
 */

import { write } from 'node:fs'

/** Calls `done` when the next write may start. */
export const writeDescriptor = (descriptor: number, text: string, done: () => void): void => write(descriptor, text, done)
