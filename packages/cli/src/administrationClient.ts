/**
 * Calls to the administration API of one VM.
 */

import { readFileSync } from 'node:fs'
import { request } from 'undici'
import { Result } from 'true-myth'
import { CommandError } from './errors.js'

export interface AdministrationCall {
  readonly address: string
  readonly tokenFile: string
  readonly path: string
  readonly method?: 'GET' | 'POST'
}

const timeoutMilliseconds = 3_000

const readToken = (file: string): string => readFileSync(file, 'utf8').split('\n')[0]?.trim() ?? ''

export const callAdministration = async (call: AdministrationCall): Promise<Result<unknown, CommandError>> => {
  try {
    const response = await request(call.address + call.path, {
      method: call.method ?? 'GET',
      headers: { authorization: `Bearer ${readToken(call.tokenFile)}` },
      signal: AbortSignal.timeout(timeoutMilliseconds)
    })
    const text = await response.body.text()
    if (response.statusCode === 200) return Result.ok(JSON.parse(text))
    return Result.err(new CommandError(`${call.address}: status ${response.statusCode}: ${text}`))
  } catch (error) {
    return Result.err(new CommandError(`${call.address}: ${error instanceof Error ? error.message : String(error)}`))
  }
}
