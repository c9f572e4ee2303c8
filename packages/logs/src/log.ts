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

/** Writes pending lines synchronously, for use before the process exits. */
export const flushLog = (): void => {
  const text = standardOutputBuffer.drain()
  try {
    if (text !== '') writeSync(standardOutputDescriptor, text)
  } catch {
    // The pipe's reader has closed it, so the lines can't be delivered.
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
