/**
 * Starts `cuminvaled` processes with settings files of their own. Only the
 * demo starts processes; the system itself never does.
 */

import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { createRequire } from 'node:module'
import { dirname, join } from 'node:path'
import type { ChildProcess } from 'node:child_process'
import type { AddressInfo } from 'node:net'
import { VmState, toVmId } from '@cuminvale/common'
import type { ListedVm } from '@cuminvale/common'
import type { VmSpecification } from './deployments.js'
import type { FakePlatform } from './fakePlatform.js'

const host = '127.0.0.1'

export interface DaemonProcess {
  readonly vm: ListedVm
  readonly process: ChildProcess
}

/** Ports that were free a moment ago, all different. */
export const freePorts = async (count: number): Promise<readonly number[]> => {
  const servers = await Promise.all(Array.from({ length: count }, async () => {
    const server = createServer().listen(0, host)
    await once(server, 'listening')
    return server
  }))
  const ports = servers.map((server) => (server.address() as AddressInfo).port)
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))))
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

/** The stand-ins whose addresses go into the settings. */
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
  child.stdout?.pipe(createWriteStream(join(directory, `${vm.name}.log`)))
  return { vm, process: child }
}
