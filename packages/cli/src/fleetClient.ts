/**
 * Calls the administration API of every VM of the fleet. The status of any one
 * VM lists the addresses of the others.
 */

import { callAdministration } from './administrationClient.js'

export interface FleetCallOptions {
  /** Administration addresses to call, or from which to discover the fleet. */
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

/** Calls the given VMs only. */
export const callVms = async ({ vm, tokenFile, path, method }: FleetCallOptions): Promise<readonly VmAnswer[]> =>
  await Promise.all(vm.map(async (address) => {
    const answer = await callAdministration({ address, tokenFile, path, ...(method === undefined ? {} : { method }) })
    return answer.isOk ? { address, answer: answer.value } : { address, error: answer.error.message }
  }))

/** Returns the given addresses and those that the first VM to answer lists as members. */
export const discoverAddresses = async (vm: readonly string[], tokenFile: string): Promise<readonly string[]> => {
  for (const address of vm) {
    const status = await callAdministration({ address, tokenFile, path: '/administration/status' })
    if (status.isErr) continue
    const listed = (status.value as VmStatus).members.map(({ administrationAddress }) => administrationAddress)
    return [...new Set([...vm, ...listed])]
  }
  return vm
}

/** Calls the given VMs and every member that the first of them to answer lists. */
export const callFleet = async (options: FleetCallOptions): Promise<readonly VmAnswer[]> =>
  await callVms({ ...options, vm: await discoverAddresses(options.vm, options.tokenFile) })
