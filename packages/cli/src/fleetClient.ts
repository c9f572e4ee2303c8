/**
 * Asks every VM of the fleet, found through the status of any one of them.
 */

import { callAdministration } from './administrationClient.js'

export interface AskOptions {
  /** Administration addresses to begin with. */
  readonly vm: readonly string[]
  readonly tokenFile: string
  readonly path: string
  readonly method?: 'GET' | 'POST'
}

export interface VmAnswer {
  readonly address: string
  readonly answer?: unknown
  readonly error?: string
}

export interface VmStatus {
  readonly vm: string
  readonly region: string
  readonly revision: number | null
  readonly ready: boolean
  readonly draining: boolean
  readonly activeRequests: number
  readonly queueLength: number
  readonly members: ReadonlyArray<{ readonly administrationAddress: string }>
}

/** Asks the given VMs alone. */
export const askEach = async ({ vm, tokenFile, path, method }: AskOptions): Promise<readonly VmAnswer[]> =>
  await Promise.all(vm.map(async (address) => {
    const answer = await callAdministration({ address, tokenFile, path, ...(method === undefined ? {} : { method }) })
    return answer.isOk ? { address, answer: answer.value } : { address, error: answer.error.message }
  }))

/** The given VMs and all that the first of them to answer lists. */
export const discover = async (vm: readonly string[], tokenFile: string): Promise<readonly string[]> => {
  for (const address of vm) {
    const status = await callAdministration({ address, tokenFile, path: '/administration/status' })
    if (status.isErr) continue
    const listed = (status.value as VmStatus).members.map(({ administrationAddress }) => administrationAddress)
    return [...new Set([...vm, ...listed])]
  }
  return vm
}

/** Asks every VM of the fleet. */
export const askFleet = async (options: AskOptions): Promise<readonly VmAnswer[]> =>
  await askEach({ ...options, vm: await discover(options.vm, options.tokenFile) })
