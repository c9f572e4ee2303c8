/**
 * Soak suite for configuration gossip: an accepted configuration never reverts,
 * and reaches every VM.
 */

import * as fastCheck from 'fast-check'
import { ConfigurationHolder, ConfigurationGossip } from '@cuminvale/configuration'
import { SeededRandom, toFailureDomainId, toIncarnationId, toRegionId, toRevision, toVmId } from '@cuminvale/common'
import type { PeerIdentity, PeerProtocol } from '@cuminvale/messages'
import type { DocumentTexts } from '@cuminvale/documents'
import { FakeLink } from './fakeLink.js'
import { FaultKind } from './soakSuite.js'
import { VirtualClock } from './virtualClock.js'
import { checkCommands } from './checkCommands.js'
import type { FakeVm } from './fakeLink.js'
import type { SoakSuite, SoakTally } from './soakSuite.js'

const vmCount = 6
const runsPerBatch = 20
const maximumCommands = 40
const settleMilliseconds = 13_000

const emptyTexts: DocumentTexts = {
  teams: '{"teams":[]}', plans: '{"plans":[]}', keys: '{"keys":[]}', routes: '{"routes":[]}', upstreams: '{"upstreams":[]}'
}

interface ConfigurationVm extends FakeVm {
  readonly holder: ConfigurationHolder
  highestRevision: number
}

const identityOf = (index: number, incarnation: number): PeerIdentity => ({
  vm: toVmId(`vm-${index}`),
  incarnation: toIncarnationId(`i-${index}-${incarnation}`),
  region: toRegionId(index % 2 === 0 ? 'veneto' : 'emilia'),
  failureDomain: toFailureDomainId(`fd-${index % 3}`)
})

class ConfigurationFleet {
  readonly clock = new VirtualClock()
  readonly random: SeededRandom
  readonly link: FakeLink
  readonly vms: ConfigurationVm[] = []
  publishedRevision = 1
  private incarnationCount = 0

  constructor (seed: number, readonly tally: SoakTally) {
    this.random = new SeededRandom(seed)
    this.link = new FakeLink({
      clock: this.clock, random: this.random, localDelayMilliseconds: 1, interRegionDelayMilliseconds: 55
    })
    for (let index = 0; index < vmCount; index += 1) this.start(index)
  }

  start (index: number): void {
    this.incarnationCount += 1
    const holder = new ConfigurationHolder()
    const identity = identityOf(index, this.incarnationCount)
    const gossip = new ConfigurationGossip({
      holder,
      random: this.random,
      peers: () => this.vms.map((vm) => vm.identity.vm).filter((name) => name !== identity.vm),
      onAcceptance: () => {}
    })
    const vm: ConfigurationVm = {
      identity, holder, highestRevision: 0, protocols: new Map([['configuration' as const, gossip as PeerProtocol<never>]])
    }
    this.vms[index] = vm
    this.link.attach(vm)
  }

  /** Lets a VM read a revision from the configuration service; a stale read returns an older one. */
  read (index: number, revision: number): void {
    const vm = this.vms[index]
    if (vm === undefined) return
    this.tally.operation()
    this.link.runOn(vm.identity.vm, () => vm.holder.offer({ revision: toRevision(revision), texts: emptyTexts }))
  }

  advance (milliseconds: number): void {
    this.clock.advance(milliseconds)
    for (const vm of this.vms) this.checkNeverReverts(vm)
  }

  finish (): void {
    this.link.heal()
    this.link.lossShare = 0
    for (const vm of this.vms) this.link.resume(vm.identity.vm)
    this.read(0, this.publishedRevision)
    this.advance(settleMilliseconds)
    const outdated = this.vms.filter((vm) => vm.holder.current?.revision !== this.publishedRevision)
    if (outdated.length > 0) throw new Error(`${outdated.map((vm) => vm.identity.vm).join()} did not reach revision ${this.publishedRevision}`)
  }

  private checkNeverReverts (vm: ConfigurationVm): void {
    const revision = vm.holder.current?.revision ?? 0
    if (revision < vm.highestRevision) throw new Error(`${vm.identity.vm} reverted from revision ${vm.highestRevision} to ${revision}`)
    vm.highestRevision = revision
  }
}

type Model = Record<string, never>

class FleetCommand implements fastCheck.Command<Model, ConfigurationFleet> {
  constructor (private readonly name: string, private readonly execute: (fleet: ConfigurationFleet) => void) {}

  check (): boolean {
    return true
  }

  run (_: Model, fleet: ConfigurationFleet): void {
    this.execute(fleet)
    fleet.advance(1)
  }

  toString (): string {
    return this.name
  }
}

const vmIndex = fastCheck.integer({ min: 0, max: vmCount - 1 })

const onVm = (name: string, execute: (fleet: ConfigurationFleet, index: number) => void) =>
  vmIndex.map((index) => new FleetCommand(`${name}(${index})`, (fleet) => execute(fleet, index)))

const nameOf = (index: number) => toVmId(`vm-${index}`)

const commands = [
  onVm('publish', (fleet, index) => {
    fleet.publishedRevision += 1
    fleet.read(index, fleet.publishedRevision)
  }),
  onVm('read', (fleet, index) => fleet.read(index, fleet.publishedRevision)),
  fastCheck.tuple(vmIndex, fastCheck.integer({ min: 1, max: 5 })).map(([index, age]) =>
    new FleetCommand(`staleRead(${index},${age})`, (fleet) => {
      fleet.tally.fault(FaultKind.StaleReader)
      fleet.read(index, Math.max(1, fleet.publishedRevision - age))
    })),
  onVm('restart', (fleet, index) => {
    fleet.tally.fault(FaultKind.Restart)
    fleet.start(index)
  }),
  onVm('pause', (fleet, index) => {
    fleet.tally.fault(FaultKind.Pause)
    fleet.link.pause(nameOf(index))
  }),
  onVm('resume', (fleet, index) => fleet.link.resume(nameOf(index))),
  onVm('isolate', (fleet, index) => {
    fleet.tally.fault(FaultKind.Partition)
    fleet.link.isolate([nameOf(index)])
  }),
  fastCheck.constant(new FleetCommand('heal', (fleet) => fleet.link.heal())),
  fastCheck.integer({ min: 0, max: 50 }).map((percent) => new FleetCommand(`loss(${percent}%)`, (fleet) => {
    fleet.tally.fault(FaultKind.Loss)
    fleet.link.lossShare = percent / 100
  })),
  fastCheck.integer({ min: 10, max: 3_000 }).map((milliseconds) => new FleetCommand(`wait(${milliseconds})`, (fleet) => fleet.advance(milliseconds)))
]

export const configurationSoak: SoakSuite = {
  name: 'configuration',
  guarantee: 'An accepted configuration takes effect everywhere within seconds and never reverts.',
  run: async (seed, tally) => await checkCommands<Model, ConfigurationFleet>({
    seed,
    runs: runsPerBatch,
    maximumCommands,
    commands,
    setup: () => ({ model: {}, real: new ConfigurationFleet(seed, tally) }),
    finish: (fleet) => fleet.finish()
  })
}
