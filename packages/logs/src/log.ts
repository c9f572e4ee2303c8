/**
 * Structured logs, written through consola: one JSON object per line. Callers
 * never log API keys or request bodies.
 */

import { writeSync } from 'node:fs'
import { createConsola } from 'consola/core'
import type { ConsolaInstance, ConsolaOptions, LogObject } from 'consola/core'
import type { VmId } from '@cuminvale/common'
import { writeDescriptor } from './descriptorWriter.js'
import { LineBuffer } from './lineBuffer.js'

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

export interface Log {
  readonly info: (event: string, fields?: LogFields) => void
  readonly warn: (event: string, fields?: LogFields) => void
  readonly error: (event: string, fields?: LogFields) => void
}

type WriteLine = (line: string) => void

const formatLine = (vm: VmId, entry: LogObject): string => {
  const [event, fields] = entry.args as [string, LogFields | undefined]
  return JSON.stringify({ time: entry.date.toISOString(), level: entry.type, vm, event, ...fields }) + '\n'
}

const standardOutputDescriptor = 1

const standardOutputBuffer = new LineBuffer((text, done) => writeDescriptor(standardOutputDescriptor, text, done))

/**
 * Resolves when all lines were written, or after a time; true if they were. If
 * not, a write is under way, and process.exit would wait for its end.
 */
export const writeLog = async (timeoutMilliseconds: number): Promise<boolean> => await standardOutputBuffer.writeAll(timeoutMilliseconds)

/** Lines that were left out since the start. */
export const leftOutLineCount = (): number => standardOutputBuffer.leftOutCount

/** Writes pending lines synchronously when the process exits; a write under way would mix with them, so writeLog comes first where it can. */
const flushLog = (): void => {
  try {
    for (let bytes = Buffer.from(standardOutputBuffer.drain()); bytes.length > 0;) bytes = bytes.subarray(writeSync(standardOutputDescriptor, bytes))
  } catch {
    // The pipe is full, or its reader has closed it, so the lines can't be delivered.
  }
}
process.on('exit', flushLog)

export const createLog = (vm: VmId, write: WriteLine = (line) => standardOutputBuffer.push(line)): Log => {
  const options: Partial<ConsolaOptions> = {
    level: 3,
    throttle: 0,
    reporters: [{ log: (entry: LogObject) => write(formatLine(vm, entry)) }]
  }
  const logger: ConsolaInstance = createConsola(options)
  return {
    info: (event, fields) => logger.info(event, fields),
    warn: (event, fields) => logger.warn(event, fields),
    error: (event, fields) => logger.error(event, fields)
  }
}
