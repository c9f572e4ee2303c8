/**
 * The eight daemon processes of a deployment, and the fakes they connect to.
 */

import { once } from 'node:events'
import { request } from 'undici'
import type { ListedVm } from '@cuminvale/common'
import { freePorts, listedVm, settingsText, startDaemonProcess } from './daemonProcess.js'
import { policySection } from './policySection.js'
import { startFakePlatform } from './fakePlatform.js'
import { waitFor } from './waitFor.js'
import type { DaemonProcess, SecretFiles } from './daemonProcess.js'
import type { Deployment } from './deployments.js'
import type { FakePlatform } from './fakePlatform.js'

export interface DemoFleetOptions {
  readonly deployment: Deployment
  readonly directory: string
  readonly secrets: SecretFiles
}

const portsPerVm = 3
const readyTimeoutMilliseconds = 15_000
const stopTimeoutMilliseconds = 5_000

const administrationAddress = (vm: ListedVm): string => `http://${vm.host}:${vm.administrationPort}`

export class DemoFleet {
  private constructor (
    readonly options: DemoFleetOptions,
    readonly platform: FakePlatform,
    readonly daemons: DaemonProcess[]
  ) {}

  static async start (options: DemoFleetOptions): Promise<DemoFleet> {
    const { deployment, directory, secrets } = options
    const platform = await startFakePlatform(deployment)
    const ports = await freePorts(deployment.vms.length * portsPerVm)
    const vms = deployment.vms.map((vm, index) =>
      listedVm(vm, ports.slice(index * portsPerVm, (index + 1) * portsPerVm)))
    platform.vmList.set(vms)
    const daemons = vms.map((vm) => startDaemonProcess(vm, settingsText(vm, platform, secrets) + policySection(deployment), directory))
    return new DemoFleet(options, platform, daemons)
  }

  get vms (): readonly ListedVm[] {
    return this.daemons.map(({ vm }) => vm)
  }

  callerAddresses (): readonly string[] {
    return this.vms.map((vm) => `http://${vm.host}:${vm.callerPort}`)
  }

  async ready (): Promise<number> {
    return await waitFor('all VMs to be ready', async () => {
      const answers = await Promise.all(this.vms.map(async (vm) => {
        const { statusCode, body } = await request(`${administrationAddress(vm)}/readyz`)
        await body.dump()
        return statusCode === 200
      }))
      return answers.every(Boolean)
    }, readyTimeoutMilliseconds)
  }

  /** Waits until every running VM has applied the revision or a later one. */
  async waitForRevision (revision: number): Promise<number> {
    return await waitFor(`revision ${revision} everywhere`, async () => {
      const revisions = await Promise.all(this.running().map(async ({ vm }) => await this.revisionOf(vm)))
      return revisions.every((held) => held >= revision)
    }, readyTimeoutMilliseconds)
  }

  kill (daemon: DaemonProcess): void {
    daemon.process.kill('SIGKILL')
  }

  /** Restarts the VM at the same address, as a new incarnation. */
  restart (index: number): void {
    const { vm } = this.daemons[index] ?? {}
    if (vm === undefined) return
    const { directory, secrets } = this.options
    this.daemons[index] = startDaemonProcess(vm, settingsText(vm, this.platform, secrets), directory)
  }

  async stop (): Promise<void> {
    await Promise.all(this.running().map(async ({ process: child }) => {
      const exited = once(child, 'exit')
      child.kill('SIGTERM')
      const timer = setTimeout(() => child.kill('SIGKILL'), stopTimeoutMilliseconds)
      await exited
      clearTimeout(timer)
    }))
    await this.platform.stop()
  }

  private running (): readonly DaemonProcess[] {
    return this.daemons.filter(({ process: child }) => child.exitCode === null && child.signalCode === null)
  }

  private async revisionOf (vm: ListedVm): Promise<number> {
    const { body } = await request(`${administrationAddress(vm)}/metrics`)
    const line = /^cuminvale_configuration_revision (\d+)$/m.exec(await body.text())
    return Number(line?.[1] ?? 0)
  }
}
