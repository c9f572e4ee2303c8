/**
 * Starts `cuminvaled` processes, each with its own settings file. Only tools such
 * as the demo start processes; the gateway itself never does.
 */

import { spawn } from 'node:child_process'
import { createWriteStream, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { createRequire } from 'node:module'
import { dirname, join } from 'node:path'
import type { ChildProcess } from 'node:child_process'
import { VmState, toVmId } from '@cuminvale/common'
import type { ListedVm } from '@cuminvale/common'
import type { VmSpecification } from './deployments.js'
import type { FakePlatform } from './fakePlatform.js'

const host = '127.0.0.1'

export interface DaemonProcess {
  readonly vm: ListedVm
  readonly process: ChildProcess
}

/** Range below the kernel's ephemeral ports, so that no outgoing connection takes a port before its daemon does. */
const lowestPort = 10_240
const highestPort = 32_000

const isFree = async (port: number): Promise<boolean> => {
  const server = createServer()
  const free = await new Promise<boolean>((resolve) => {
    server.once('error', () => resolve(false))
    server.listen(port, host, () => resolve(true))
  })
  if (free) await new Promise((resolve) => server.close(resolve))
  return free
}

/** Distinct ports that were free when they were checked. */
export const freePorts = async (count: number): Promise<readonly number[]> => {
  const ports: number[] = []
  let port = lowestPort + Math.floor(Math.random() * (highestPort - lowestPort))
  while (ports.length < count) {
    if (await isFree(port)) ports.push(port)
    port = port === highestPort ? lowestPort : port + 1
  }
  return ports
}

export const listedVm = (vm: VmSpecification, ports: readonly number[]): ListedVm => ({
  name: toVmId(vm.name),
  region: vm.region,
  failureDomain: vm.failureDomain,
  host,
  callerPort: ports[0] ?? 0,
  peerPort: ports[1] ?? 0,
  administrationPort: ports[2] ?? 0,
  state: VmState.Live
})

export interface SecretFiles {
  readonly fleetSecret: string
  readonly administrationToken: string
}

/** The fakes whose addresses are written into the settings. */
export type SettingsPlatform = Pick<FakePlatform, 'configuration' | 'vmList' | 'clientDirectory' | 'weightStore'>

export const settingsText = (vm: ListedVm, platform: SettingsPlatform, secrets: SecretFiles): string => `[vm]
name = ${vm.name}
region = ${vm.region}
failure-domain = ${vm.failureDomain}

[listen]
host = ${vm.host}
caller-port = ${vm.callerPort}
peer-port = ${vm.peerPort}
administration-port = ${vm.administrationPort}

[platform]
configuration-service = ${platform.configuration.server.address}
vm-list = ${platform.vmList.server.address}
client-directory = ${platform.clientDirectory.server.address}
weight-store = ${platform.weightStore.server.address}
vm-list-lag-milliseconds = 100

[security]
fleet-secret-file = ${secrets.fleetSecret}
administration-token-file = ${secrets.administrationToken}
`

const daemonMain = (): string =>
  join(dirname(createRequire(import.meta.url).resolve('@cuminvale/daemon')), 'main.js')

export const startDaemonProcess = (vm: ListedVm, settings: string, directory: string): DaemonProcess => {
  const file = join(directory, `${vm.name}.ini`)
  writeFileSync(file, settings)
  const child = spawn(process.execPath, [daemonMain(), file], { stdio: ['ignore', 'pipe', 'inherit'] })
  child.stdout?.pipe(createWriteStream(join(directory, `${vm.name}.log`), { flags: 'a' }))
  return { vm, process: child }
}
