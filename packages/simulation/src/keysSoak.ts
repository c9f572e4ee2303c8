/**
 * Soak suite for API keys: a withdrawn key stops working everywhere within its
 * time limit, also for requests in progress and forwarded requests. A forward is
 * accepted only once.
 */

import * as fastCheck from 'fast-check'
import { ConfigurationHolder, ConfigurationGossip } from '@cuminvale/configuration'
import {
  SeededRandom, pickOne, toFailureDomainId, toIncarnationId, toKeyDigest, toRegionId, toRequestId, toRevision, toRouteName,
  toTeamId, toVmId
} from '@cuminvale/common'
import {
  RequestsByKey, ReplayCache, digestBody, forwardProofLifetimeMilliseconds, isKeyInForce, signForward, verifyForward
} from '@cuminvale/keys'
import type { DocumentTexts } from '@cuminvale/documents'
import type { ForwardClaims, KeyIdentity } from '@cuminvale/keys'
import type { PeerIdentity, PeerProtocol } from '@cuminvale/messages'
import { FakeLink } from './fakeLink.js'
import { FaultKind } from './soakSuite.js'
import { VirtualClock } from './virtualClock.js'
import { checkCommands } from './checkCommands.js'
import type { FakeVm } from './fakeLink.js'
import type { SoakSuite, SoakTally } from './soakSuite.js'

const vmCount = 5
const keyCount = 3
const runsPerBatch = 25
const maximumCommands = 60
const withdrawalLimitMilliseconds = 2_000
const deliveryDelayMilliseconds = 60
const proofCapacity = 100
const secret = Buffer.from('fleet-secret')
const body = Buffer.from('{}')

interface KeyVm extends FakeVm {
  readonly holder: ConfigurationHolder
  readonly requests: RequestsByKey
  readonly seen: ReplayCache
  readonly running: Set<KeyIdentity>
  wallClockShiftMilliseconds: number
}

const keyIdentities: readonly KeyIdentity[] = Array.from({ length: keyCount }, (_, index) => ({
  team: toTeamId('binders'), digest: toKeyDigest(String(index).repeat(64))
}))

const textsWith = (issuedKeys: ReadonlySet<number>): DocumentTexts => ({
  teams: '{"teams":[{"name":"binders","plan":"small"}]}',
  plans: '{"plans":[{"name":"small","routes":[],"regions":["veneto"],"rateTokensPerSecond":1,"burstTokens":1}]}',
  keys: JSON.stringify({ keys: [...issuedKeys].map((index) => keyIdentities[index]) }),
  routes: '{"routes":[]}',
  upstreams: '{"upstreams":[]}'
})

const identityOf = (index: number, incarnation: number): PeerIdentity => ({
  vm: toVmId(`vm-${index}`),
  incarnation: toIncarnationId(`i-${index}-${incarnation}`),
  region: toRegionId(index % 2 === 0 ? 'veneto' : 'emilia'),
  failureDomain: toFailureDomainId(`fd-${index}`)
})

const claimsFor = (nonce: string, from: PeerIdentity, to: PeerIdentity, identity: KeyIdentity, now: number): ForwardClaims => ({
  nonce,
  requestId: toRequestId(nonce),
  from: from.vm,
  fromIncarnation: from.incarnation,
  fromRegion: from.region,
  to: to.vm,
  toIncarnation: to.incarnation,
  team: identity.team,
  keyDigest: identity.digest,
  revision: toRevision(1),
  route: toRouteName('counter'),
  path: '/',
  method: 'POST',
  runsOrder: false,
  hops: 1,
  borderCrossings: 0,
  chargedTokens: 0,
  streaming: false,
  deadlineAt: now,
  expiresAt: now + forwardProofLifetimeMilliseconds,
  bodyDigest: digestBody(body)
})

class KeysFleet {
  readonly clock = new VirtualClock()
  readonly random: SeededRandom
  readonly link: FakeLink
  readonly vms: KeyVm[] = []
  private readonly issuedKeys = new Set(keyIdentities.keys())
  private readonly capturedForwards: Array<{ readonly to: number, readonly nonce: string, readonly proof: string }> = []
  private readonly acceptedCounts = new Map<string, number>()
  private revision = 1
  private incarnationCount = 0
  private nonceCount = 0

  constructor (seed: number, readonly tally: SoakTally) {
    this.random = new SeededRandom(seed)
    this.link = new FakeLink({ clock: this.clock, random: this.random, localDelayMilliseconds: 1, interRegionDelayMilliseconds: 55 })
    for (let index = 0; index < vmCount; index += 1) this.start(index)
    this.publish()
    this.clock.advance(withdrawalLimitMilliseconds)
  }

  start (index: number): void {
    this.incarnationCount += 1
    const identity = identityOf(index, this.incarnationCount)
    const [holder, requests] = [new ConfigurationHolder(), new RequestsByKey()]
    const gossip = new ConfigurationGossip({
      holder,
      random: this.random,
      peers: () => this.vms.map((vm) => vm.identity.vm).filter((name) => name !== identity.vm),
      onAcceptance: () => {}
    })
    holder.onChange((inForce) => requests.stopWithdrawn(inForce))
    const vm: KeyVm = {
      identity,
      holder,
      requests,
      seen: new ReplayCache(proofCapacity),
      running: new Set(),
      wallClockShiftMilliseconds: 0,
      protocols: new Map([['configuration' as const, gossip as PeerProtocol<never>]])
    }
    this.vms[index] = vm
    this.link.attach(vm)
    this.scheduleWatchDelivery(index)
  }

  issue (key: number): void {
    this.issuedKeys.add(key)
    this.publish()
  }

  withdraw (key: number): void {
    this.issuedKeys.delete(key)
    this.publish()
  }

  /** Starts a caller's request, which stays in progress while its key is in force. */
  request (index: number, key: number): void {
    this.tally.operation()
    const vm = this.at(index)
    this.link.runOn(vm.identity.vm, () => this.startRequest(vm, keyIdentities[key] as KeyIdentity))
  }

  /** Forwards a request with a signed proof of its key, and captures the proof for replays. */
  forward (from: number, to: number, key: number): void {
    const identity = keyIdentities[key] as KeyIdentity
    const [sender, receiver] = [this.at(from), this.at(to)]
    if (!this.admitsKey(sender, identity)) return
    this.nonceCount += 1
    const nonce = `n-${this.nonceCount}`
    const proof = signForward(claimsFor(nonce, sender.identity, receiver.identity, identity, this.clock.wall()), secret)
    this.capturedForwards.push({ to, nonce, proof })
    this.clock.schedule(deliveryDelayMilliseconds, () => this.receiveForward(to, nonce, proof))
  }

  replay (): void {
    const captured = pickOne(this.capturedForwards, this.random)
    if (captured !== undefined) this.receiveForward(captured.to, captured.nonce, captured.proof)
  }

  shiftWallClock (index: number, milliseconds: number): void {
    this.at(index).wallClockShiftMilliseconds = milliseconds
  }

  advance (milliseconds: number): void {
    this.clock.advance(milliseconds)
    for (const vm of this.vms) this.checkRunning(vm)
  }

  finish (): void {
    this.link.heal()
    this.link.lossShare = 0
    for (const vm of this.vms) this.link.resume(vm.identity.vm)
    this.publish()
    this.advance(withdrawalLimitMilliseconds)
    for (const [key, identity] of keyIdentities.entries()) {
      const inconsistentVms = this.vms.filter((vm) => this.admitsKey(vm, identity) !== this.issuedKeys.has(key))
      if (inconsistentVms.length > 0) throw new Error(`key ${key} does not match the published configuration on ${inconsistentVms.map((vm) => vm.identity.vm).join()}`)
    }
  }

  private at (index: number): KeyVm {
    return this.vms[index] as KeyVm
  }

  private publish (): void {
    this.revision += 1
    for (const index of this.vms.keys()) this.scheduleWatchDelivery(index)
  }

  /** Delivers the newest revision if the VM watches the configuration service; the first and the last VM do. */
  private scheduleWatchDelivery (index: number): void {
    const vm = this.at(index)
    const isWatcher = index === 0 || index === vmCount - 1
    this.clock.schedule(deliveryDelayMilliseconds, () => {
      const { revision } = this
      const texts = textsWith(this.issuedKeys)
      if (!isWatcher || this.at(index) !== vm) return
      this.link.runOn(vm.identity.vm, () => vm.holder.offer({ revision: toRevision(revision), texts }))
    })
  }

  private admitsKey (vm: KeyVm, identity: KeyIdentity): boolean {
    const configuration = vm.holder.current
    return configuration !== undefined && isKeyInForce(identity, configuration)
  }

  private startRequest (vm: KeyVm, identity: KeyIdentity): void {
    if (!this.admitsKey(vm, identity)) return
    const request = { ...identity }
    vm.running.add(request)
    const unwatch = vm.requests.add(request, () => {
      vm.running.delete(request)
      unwatch()
    })
  }

  private receiveForward (to: number, nonce: string, proof: string): void {
    const vm = this.at(to)
    this.link.runOn(vm.identity.vm, () => {
      const verified = verifyForward(proof, {
        secrets: [secret],
        self: vm.identity.vm,
        incarnation: vm.identity.incarnation,
        seen: vm.seen,
        body,
        now: this.clock.wall() + vm.wallClockShiftMilliseconds
      })
      if (verified.isErr) return
      const acceptedCount = (this.acceptedCounts.get(nonce) ?? 0) + 1
      this.acceptedCounts.set(nonce, acceptedCount)
      if (acceptedCount > 1) throw new Error(`forward ${nonce} was accepted ${acceptedCount} times`)
      const { team, keyDigest } = verified.value
      if (keyDigest !== undefined) this.startRequest(vm, { team, digest: keyDigest })
    })
  }

  private checkRunning (vm: KeyVm): void {
    for (const identity of vm.running) {
      if (!this.admitsKey(vm, identity)) throw new Error(`${vm.identity.vm} runs a request whose key it knows to be withdrawn`)
    }
  }
}

type Model = Record<string, never>

class KeysCommand implements fastCheck.Command<Model, KeysFleet> {
  constructor (private readonly name: string, private readonly execute: (fleet: KeysFleet) => void) {}

  check (): boolean {
    return true
  }

  run (_: Model, fleet: KeysFleet): void {
    this.execute(fleet)
    fleet.advance(1)
  }

  toString (): string {
    return this.name
  }
}

const vmIndex = fastCheck.integer({ min: 0, max: vmCount - 1 })
const keyIndex = fastCheck.integer({ min: 0, max: keyCount - 1 })

const onKey = (name: string, execute: (fleet: KeysFleet, key: number, index: number) => void) =>
  fastCheck.tuple(keyIndex, vmIndex).map(([key, index]) =>
    new KeysCommand(`${name}(${key},${index})`, (fleet) => execute(fleet, key, index)))

const onVmWithFault = (name: string, kind: FaultKind, execute: (fleet: KeysFleet, index: number) => void) =>
  vmIndex.map((index) => new KeysCommand(`${name}(${index})`, (fleet) => {
    fleet.tally.fault(kind)
    execute(fleet, index)
  }))

const request = onKey('request', (fleet, key, index) => fleet.request(index, key))
const forward = onKey('forward', (fleet, key, index) => fleet.forward(index, (index + 1) % vmCount, key))
const replay = fastCheck.constant(new KeysCommand('replay', (fleet) => fleet.replay()))

const commands = [
  request,
  request,
  forward,
  forward,
  replay,
  replay,
  onKey('withdraw', (fleet, key) => fleet.withdraw(key)),
  onKey('give', (fleet, key) => fleet.issue(key)),
  onVmWithFault('restart', FaultKind.Restart, (fleet, index) => fleet.start(index)),
  onVmWithFault('pause', FaultKind.Pause, (fleet, index) => fleet.link.pause(toVmId(`vm-${index}`))),
  vmIndex.map((index) => new KeysCommand(`resume(${index})`, (fleet) => fleet.link.resume(toVmId(`vm-${index}`)))),
  onVmWithFault('isolate', FaultKind.Partition, (fleet, index) => fleet.link.isolate([toVmId(`vm-${index}`)])),
  fastCheck.constant(new KeysCommand('heal', (fleet) => fleet.link.heal())),
  fastCheck.tuple(vmIndex, fastCheck.integer({ min: -20_000, max: 5_000 })).map(([index, shiftMilliseconds]) =>
    new KeysCommand(`shiftWallClock(${index},${shiftMilliseconds})`, (fleet) => {
      fleet.tally.fault(FaultKind.ClockDrift)
      fleet.shiftWallClock(index, shiftMilliseconds)
    })),
  fastCheck.integer({ min: 10, max: 9_000 }).map((milliseconds) => new KeysCommand(`wait(${milliseconds})`, (fleet) => fleet.advance(milliseconds)))
]

export const keysSoak: SoakSuite = {
  name: 'keys',
  guarantee: 'A withdrawn key stops working within seconds, and a forwarded request is accepted once.',
  run: async (seed, tally) => await checkCommands<Model, KeysFleet>({
    seed,
    runs: runsPerBatch,
    maximumCommands,
    size: 'max',
    commands,
    setup: () => ({ model: {}, real: new KeysFleet(seed, tally) }),
    finish: (fleet) => fleet.finish()
  })
}
