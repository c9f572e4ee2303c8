/**
 * One `cuminvaled` process in front of the benchmark's upstreams. It has the
 * Cooperativa's documents, with plan rates and slots that the load can't reach.
 */

import { readFileSync } from 'node:fs'
import { request } from 'undici'
import { FakeClientDirectory, FakeConfigurationService, FakeVmList, FakeWeightStore } from '@cuminvale/fakes'
import {
  cooperativa, documentsFor, freePorts, listedVm, newTeamKeys, settingsText, startDaemonProcess, waitFor,
  writeSecrets
} from '@cuminvale/demo'
import type { ChildProcess } from 'node:child_process'
import type { DocumentTexts } from '@cuminvale/documents'
import type { SettingsPlatform, TeamKey } from '@cuminvale/demo'
import { loopbackHost } from './constants.js'

const unreachableTokenCount = 1_000_000_000
const slotsPerUpstream = 4_096
const readyTimeoutMilliseconds = 10_000
const portsPerVm = 3
const kilobytesPerMegabyte = 1_024

export interface GatewayProcess {
  readonly child: ChildProcess
  readonly origin: string
  readonly key: string
  stop (): Promise<void>
}

const raiseLimits = (texts: DocumentTexts): DocumentTexts => ({
  ...texts,
  plans: texts.plans
    .replace(/"rateTokensPerSecond": \d+/g, `"rateTokensPerSecond": ${unreachableTokenCount}`)
    .replace(/"burstTokens": \d+/g, `"burstTokens": ${unreachableTokenCount}`),
  upstreams: texts.upstreams.replace(/"slots": \d+/g, `"slots": ${slotsPerUpstream}`)
})

const addressesOf = (origins: readonly string[]): ReadonlyMap<string, string> =>
  new Map(cooperativa.upstreams.map(({ name }, index) => [name, origins[index % origins.length] ?? '']))

const startPlatform = async (origins: readonly string[], keys: readonly TeamKey[]): Promise<SettingsPlatform & { readonly vmList: FakeVmList, stop (): Promise<void> }> => {
  const configuration = new FakeConfigurationService(raiseLimits(documentsFor(cooperativa, addressesOf(origins), keys)))
  const platform = {
    configuration, vmList: new FakeVmList(), clientDirectory: new FakeClientDirectory(), weightStore: new FakeWeightStore([])
  }
  const fakes = Object.values(platform)
  await Promise.all(fakes.map(async (fake) => await fake.server.start()))
  return { ...platform, stop: async () => { await Promise.all(fakes.map(async (fake) => await fake.server.stop())) } }
}

export const startGateway = async (origins: readonly string[], directory: string): Promise<GatewayProcess> => {
  const keys = newTeamKeys(cooperativa)
  const platform = await startPlatform(origins, keys)
  const specification = cooperativa.vms[0]
  if (specification === undefined) throw new Error('the deployment lists no VM')
  const vm = listedVm(specification, await freePorts(portsPerVm))
  // A VM can't spend from any budget until the VM list names it.
  platform.vmList.set([vm])
  const { process: child } = startDaemonProcess(vm, settingsText(vm, platform, writeSecrets(directory)), directory)
  await waitFor('the gateway to be ready', async () => {
    const { statusCode, body } = await request(`http://${loopbackHost}:${vm.administrationPort}/readyz`)
    await body.dump()
    return statusCode === 200
  }, readyTimeoutMilliseconds)
  return { child, origin: `http://${loopbackHost}:${vm.callerPort}`, key: keys[0]?.key ?? '', stop: platform.stop }
}

/** Resident memory in megabytes; NaN if the system doesn't report it. */
export const residentMegabytes = (child: ChildProcess): number => {
  try {
    const match = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${child.pid}/status`, 'utf8'))
    return Number(match?.[1] ?? NaN) / kilobytesPerMegabyte
  } catch {
    return NaN
  }
}
