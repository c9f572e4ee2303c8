/**
 * A fleet inside one process for end-to-end tests: real daemons, on ports that
 * the kernel chooses, and the fakes they connect to.
 */

import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createDaemon, parseSettings } from '@cuminvale/daemon'
import type { Daemon } from '@cuminvale/daemon'
import type { ListedVm } from '@cuminvale/common'
import { listedVm, settingsText } from './daemonProcess.js'
import { policySection } from './policySection.js'
import { startFakePlatform } from './fakePlatform.js'
import { waitFor } from './waitFor.js'
import type { Deployment, VmSpecification } from './deployments.js'
import type { FakePlatform } from './fakePlatform.js'

export interface TestVm {
  readonly listed: ListedVm
  readonly daemon: Daemon
}

type RequestSettings = Readonly<Record<string, number>>

const requestSection = (settings: RequestSettings): string =>
  ['', '[requests]', ...Object.entries(settings).map(([key, value]) => `${key} = ${value}`), ''].join('\n')

const readyTimeoutMilliseconds = 10_000

export class TestFleet {
  readonly vms: TestVm[] = []

  private constructor (readonly deployment: Deployment, readonly platform: FakePlatform, readonly directory: string, private readonly requestSettings: RequestSettings) {}

  /** `requestSettings` overrides defaults of the `[requests]` section. */
  static async start (deployment: Deployment, vmCount: number, requestSettings: RequestSettings = {}): Promise<TestFleet> {
    const directory = mkdtempSync(join(tmpdir(), 'cuminvale-test-'))
    const fleet = new TestFleet(deployment, await startFakePlatform(deployment), directory, requestSettings)
    for (const file of Object.values(fleet.secrets)) writeFileSync(file, 'a secret for tests\n')
    for (const vm of deployment.vms.slice(0, vmCount)) await fleet.startVm(vm)
    fleet.list()
    await fleet.waitUntilLinked()
    return fleet
  }

  /** Starts a VM. The other VMs learn of it when `list` publishes the VM list. */
  async startVm (vm: VmSpecification): Promise<TestVm> {
    const text = settingsText(listedVm(vm, []), this.platform, this.secrets) + policySection(this.deployment) + requestSection(this.requestSettings)
    const settings = parseSettings('test.ini', text)
    if (settings.isErr) throw new Error(JSON.stringify(settings.error))
    const daemon = await createDaemon(settings.value)
    const { caller, peer, administration } = daemon.context.ports
    const started = { listed: listedVm(vm, [caller, peer, administration]), daemon }
    this.vms.push(started)
    return started
  }

  list (): void {
    this.platform.vmList.set(this.vms.map(({ listed }) => listed))
  }

  /** Waits until every VM has a configuration, reaches every other, and holds its share of the teams' rates. */
  async waitUntilLinked (): Promise<void> {
    await waitFor('the fleet to be linked', () => Promise.resolve(this.vms.every(({ daemon }) => {
      const { configuration, limiter, membership } = daemon.context
      const reachable = membership.members.filter((member) => member.reachable)
      return configuration.current !== undefined && reachable.length === this.vms.length - 1 && limiter.isHolding
    })), readyTimeoutMilliseconds)
  }

  key (team: number): string {
    return this.platform.keys[team]?.key ?? ''
  }

  address (vm: number): string {
    const listed = this.vms[vm]?.listed
    return `http://${listed?.host}:${listed?.callerPort}`
  }

  async stop (): Promise<void> {
    await Promise.all(this.vms.map(async ({ daemon }) => await daemon.shutdown()))
    await this.checkInvariants()
    await this.platform.stop()
    rmSync(this.directory, { recursive: true, force: true })
  }

  /** Daemons count violations, in production and here; in a test any violation is an error. */
  private async checkInvariants (): Promise<void> {
    for (const { daemon } of this.vms) {
      const { values } = await daemon.context.metrics.invariantViolations.get()
      const violated = values.filter(({ value }) => value > 0).map(({ labels }) => labels.invariant)
      if (violated.length > 0) throw new Error(`invariants violated: ${violated.join()}`)
    }
  }

  private get secrets () {
    return { fleetSecret: join(this.directory, 'fleet-secret'), administrationToken: join(this.directory, 'administration-token') }
  }
}
