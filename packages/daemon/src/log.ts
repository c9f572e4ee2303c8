/**
 * Structured logs: one JSON object a line, through consola. Keys and bodies
 * are never passed in.
 */

import { createConsola } from 'consola'
import type { ConsolaInstance, ConsolaOptions, LogObject } from 'consola'
import type { VmId } from '@cuminvale/common'
import { LineBuffer } from './lineBuffer.js'

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

export interface Log {
  readonly info: (event: string, fields?: LogFields) => void
  readonly warn: (event: string, fields?: LogFields) => void
  readonly error: (event: string, fields?: LogFields) => void
}

type Write = (line: string) => void

const formatLine = (vm: VmId, entry: LogObject): string => {
  const [event, fields] = entry.args as [string, LogFields | undefined]
  return JSON.stringify({ time: entry.date.toISOString(), level: entry.type, vm, event, ...fields }) + '\n'
}

const standardOutput = new LineBuffer((text) => { process.stdout.write(text) })

export const createLog = (vm: VmId, write: Write = (line) => standardOutput.push(line)): Log => {
  const options: Partial<ConsolaOptions> = {
    level: 3,
    throttle: 0,
    reporters: [{ log: (entry: LogObject) => write(formatLine(vm, entry)) }]
  }
  const instance: ConsolaInstance = createConsola(options)
  return {
    info: (event, fields) => instance.info(event, fields),
    warn: (event, fields) => instance.warn(event, fields),
    error: (event, fields) => instance.error(event, fields)
  }
}
