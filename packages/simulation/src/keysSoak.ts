/**
 * Soak suite: a withdrawn key stops working everywhere within its limit, also
 * for requests in progress and forwarded ones, and a forward is taken once.
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
const watchDelayMilliseconds = 60
const proofCapacity = 100
const secret = Buffer.from('fleet-secret')
const body = Buffer.from('{}')

interface KeyVm extends FakeVm {
  readonly holder: ConfigurationHolder
  readonly requests: RequestsByKey
  readonly seen: ReplayCache
  readonly running: Set<KeyIdentity>
  wallShift: number
}

const identities: readonly KeyIdentity[] = Array.from({ length: keyCount }, (_, index) => ({
  team: toTeamId('binders'), digest: toKeyDigest(String(index).repeat(64))
}))

const textsWith = (given: ReadonlySet<number>): DocumentTexts => ({
  teams: '{"teams":[{"name":"binders","plan":"small"}]}',
  plans: '{"plans":[{"name":"small","routes":[],"regions":["veneto"],"rateTokensPerSecond":1,"burstTokens":1}]}',
  keys: JSON.stringify({ keys: [...given].map((index) => identities[index]) }),
  routes: '{"routes":[]}',
  upstreams: '{"upstreams":[]}'
})

const vmIdentity = (index: number, incarnation: number): PeerIdentity => ({
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
  private readonly given = new Set(identities.keys())
  private readonly captured: Array<{ readonly to: number, readonly nonce: string, readonly proof: string }> = []
  private readonly accepted = new Map<string, number>()
  private revision = 1
  private incarnations = 0
  private nonces = 0

  constructor (seed: number, readonly tally: SoakTally) {
    this.random = new SeededRandom(seed)
    this.link = new FakeLink({ clock: this.clock, random: this.random, localDelayMilliseconds: 1, interRegionDelayMilliseconds: 55 })
    for (let index = 0; index < vmCount; index += 1) this.start(index)
    this.publish()
    this.clock.advance(withdrawalLimitMilliseconds)
  }

  start (index: number): void {
    this.incarnations += 1
    const identity = vmIdentity(index, this.incarnations)
    const [holder, requests] = [new ConfigurationHolder(), new RequestsByKey()]
    const spread = new ConfigurationGossip({
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
      wallShift: 0,
      protocols: new Map([['configuration' as const, spread as PeerProtocol<never>]])
    }
    this.vms[index] = vm
    this.link.attach(vm)
    this.watchSoon(index)
  }

  give (key: number): void {
    this.given.add(key)
    this.publish()
  }

  withdraw (key: number): void {
    this.given.delete(key)
    this.publish()
  }

  /** A caller's request arrives and stays in progress while its key is in force. */
  request (index: number, key: number): void {
    this.tally.operation()
    const vm = this.at(index)
    this.link.runOn(vm.identity.vm, () => this.admit(vm, identities[key] as KeyIdentity))
  }

  /** Forwards a request with proof of its key; the network keeps what it saw. */
  forward (from: number, to: number, key: number): void {
    const identity = identities[key] as KeyIdentity
    const [sender, receiver] = [this.at(from), this.at(to)]
    if (!this.admits(sender, identity)) return
    this.nonces += 1
    const nonce = `n-${this.nonces}`
    const proof = signForward(claimsFor(nonce, sender.identity, receiver.identity, identity, this.clock.wall()), secret)
    this.captured.push({ to, nonce, proof })
    this.clock.schedule(watchDelayMilliseconds, () => this.arrive(to, nonce, proof))
  }

  replay (): void {
    const captured = pickOne(this.captured, this.random)
    if (captured !== undefined) this.arrive(captured.to, captured.nonce, captured.proof)
  }

  shiftWallClock (index: number, milliseconds: number): void {
    this.at(index).wallShift = milliseconds
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
    for (const [key, identity] of identities.entries()) {
      const wrong = this.vms.filter((vm) => this.admits(vm, identity) !== this.given.has(key))
      if (wrong.length > 0) throw new Error(`key ${key} is not as published on ${wrong.map((vm) => vm.identity.vm).join()}`)
    }
  }

  private at (index: number): KeyVm {
    return this.vms[index] as KeyVm
  }

  private publish (): void {
    this.revision += 1
    for (const index of this.vms.keys()) this.watchSoon(index)
  }

  /** A watch brings the newest revision to the few VMs that watch. */
  private watchSoon (index: number): void {
    const vm = this.at(index)
    const isWatcher = index === 0 || index === vmCount - 1
    this.clock.schedule(watchDelayMilliseconds, () => {
      const { revision } = this
      const texts = textsWith(this.given)
      if (!isWatcher || this.at(index) !== vm) return
      this.link.runOn(vm.identity.vm, () => vm.holder.offer({ revision: toRevision(revision), texts }))
    })
  }

  private admits (vm: KeyVm, identity: KeyIdentity): boolean {
    const configuration = vm.holder.current
    return configuration !== undefined && isKeyInForce(identity, configuration)
  }

  private admit (vm: KeyVm, identity: KeyIdentity): void {
    if (!this.admits(vm, identity)) return
    const request = { ...identity }
    vm.running.add(request)
    const forget = vm.requests.add(request, () => {
      vm.running.delete(request)
      forget()
    })
  }

  private arrive (to: number, nonce: string, proof: string): void {
    const vm = this.at(to)
    this.link.runOn(vm.identity.vm, () => {
      const verified = verifyForward(proof, {
        secrets: [secret],
        self: vm.identity.vm,
        incarnation: vm.identity.incarnation,
        seen: vm.seen,
        body,
        now: this.clock.wall() + vm.wallShift
      })
      if (verified.isErr) return
      const times = (this.accepted.get(nonce) ?? 0) + 1
      this.accepted.set(nonce, times)
      if (times > 1) throw new Error(`forward ${nonce} was accepted ${times} times`)
      const { team, keyDigest } = verified.value
      if (keyDigest !== undefined) this.admit(vm, { team, digest: keyDigest })
    })
  }

  private checkRunning (vm: KeyVm): void {
    for (const identity of vm.running) {
      if (!this.admits(vm, identity)) throw new Error(`${vm.identity.vm} runs a request of a key that it knows to be withdrawn`)
    }
  }
}

type Model = Record<string, never>

class KeysCommand implements fastCheck.Command<Model, KeysFleet> {
  constructor (private readonly name: string, private readonly act: (fleet: KeysFleet) => void) {}

  check (): boolean {
    return true
  }

  run (_: Model, fleet: KeysFleet): void {
    this.act(fleet)
    fleet.advance(1)
  }

  toString (): string {
    return this.name
  }
}

const vmIndex = fastCheck.integer({ min: 0, max: vmCount - 1 })
const keyIndex = fastCheck.integer({ min: 0, max: keyCount - 1 })

const onKey = (name: string, act: (fleet: KeysFleet, key: number, index: number) => void) =>
  fastCheck.tuple(keyIndex, vmIndex).map(([key, index]) =>
    new KeysCommand(`${name}(${key},${index})`, (fleet) => act(fleet, key, index)))

const withFault = (name: string, kind: FaultKind, act: (fleet: KeysFleet, index: number) => void) =>
  vmIndex.map((index) => new KeysCommand(`${name}(${index})`, (fleet) => {
    fleet.tally.fault(kind)
    act(fleet, index)
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
  onKey('give', (fleet, key) => fleet.give(key)),
  withFault('restart', FaultKind.Restart, (fleet, index) => fleet.start(index)),
  withFault('pause', FaultKind.Pause, (fleet, index) => fleet.link.pause(toVmId(`vm-${index}`))),
  vmIndex.map((index) => new KeysCommand(`resume(${index})`, (fleet) => fleet.link.resume(toVmId(`vm-${index}`)))),
  withFault('isolate', FaultKind.Partition, (fleet, index) => fleet.link.isolate([toVmId(`vm-${index}`)])),
  fastCheck.constant(new KeysCommand('heal', (fleet) => fleet.link.heal())),
  fastCheck.tuple(vmIndex, fastCheck.integer({ min: -20_000, max: 5_000 })).map(([index, shift]) =>
    new KeysCommand(`shiftWallClock(${index},${shift})`, (fleet) => {
      fleet.tally.fault(FaultKind.ClockDrift)
      fleet.shiftWallClock(index, shift)
    })),
  fastCheck.integer({ min: 10, max: 9_000 }).map((span) => new KeysCommand(`wait(${span})`, (fleet) => fleet.advance(span)))
]

export const keysSoak: SoakSuite = {
  name: 'keys',
  promise: 'A withdrawn key stops working within seconds, and a forwarded request is taken once.',
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
