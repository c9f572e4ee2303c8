/**
 * Starts the benchmark's own processes and reads the JSON line that each of
 * them prints.
 */

import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import type { ChildProcess } from 'node:child_process'
import { loopbackHost } from './constants.js'
import type { ListeningLine, LoadPlan, LoadResult } from './types.js'

const modulePath = (name: string): string => fileURLToPath(new URL(`./${name}.js`, import.meta.url))

const startModule = (name: string, parameters: readonly string[]): ChildProcess =>
  spawn(process.execPath, [modulePath(name), ...parameters], { stdio: ['ignore', 'pipe', 'inherit'] })

const firstLine = async (child: ChildProcess): Promise<string> => {
  if (child.stdout === null) throw new Error('the process has no piped standard output')
  const lines = createInterface({ input: child.stdout })
  const line = once(lines, 'line').then(([text]) => String(text))
  const ended = once(lines, 'close').then(() => { throw new Error('the process exited without printing a line') })
  return await Promise.race([line, ended])
}

export interface ServerProcess {
  readonly child: ChildProcess
  readonly origin: string
}

export const startServer = async (name: string, parameters: readonly string[] = []): Promise<ServerProcess> => {
  const child = startModule(name, parameters)
  const { port } = JSON.parse(await firstLine(child)) as ListeningLine
  return { child, origin: `http://${loopbackHost}:${port}` }
}

export const runLoad = async (plan: LoadPlan): Promise<LoadResult> =>
  JSON.parse(await firstLine(startModule('loadMain', [JSON.stringify(plan)]))) as LoadResult

export const stopProcess = async (child: ChildProcess): Promise<void> => {
  if (child.exitCode !== null || child.signalCode !== null) return
  const exited = once(child, 'exit')
  child.kill('SIGTERM')
  await exited
}
