/**
 * Replicates this VM's usage counts to a VM of another failure domain, and
 * holds copies of other VMs' counts. When the VM that sent a copy is gone, the
 * holder sends the copy to a further VM, so that two VMs hold each account.
 * Counts are cumulative, so that applying a copy twice changes nothing.
 */

import type { FailureDomainId, IncarnationId, RegionId, VmId } from '@cuminvale/common'
import type { MeteringAcknowledge, MeteringCopy, MeteringMessage, OutboundMessage, PeerIdentity, PeerProtocol } from '@cuminvale/messages'
import { copyIntervalMilliseconds, droppedAccountsCapacity, heldCountsCapacity } from './constants.js'
import { UsageAccount, accountKey } from './usageAccount.js'
import type { AccountId, UsageReport } from './usageAccount.js'

export interface CopyCandidate {
  readonly vm: VmId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly reachable: boolean
  readonly incarnation?: IncarnationId
}

export interface UsageCopiesOptions {
  readonly self: PeerIdentity
  readonly own: UsageAccount
  /** The VMs that this one can send messages to. */
  readonly peers: () => readonly CopyCandidate[]
  readonly heldCountsCapacity?: number
}

interface HeldAccount {
  readonly account: UsageAccount
  /** The VM that last sent this copy. While it runs, it is responsible for the second copy of the account. */
  sender: AccountId
}

interface AcknowledgedState {
  readonly sequence: number
  readonly isFinal: boolean
}

export class UsageCopies implements PeerProtocol<MeteringMessage> {
  readonly tickMilliseconds = copyIntervalMilliseconds
  /** Copies of the accounts of other incarnations, least recently changed first. */
  private readonly held = new Map<string, HeldAccount>()
  /** The state that each holder has acknowledged, by incarnation of the holder and by account. */
  private readonly acknowledged = new Map<string, Map<string, AcknowledgedState>>()
  private readonly dropped: AccountId[] = []

  constructor (private readonly options: UsageCopiesOptions) {}

  /** Reports of all accounts that this VM holds, its own first. */
  reports (): readonly UsageReport[] {
    return [this.options.own, ...[...this.held.values()].map(({ account }) => account)].map((account) => account.report())
  }

  /** Accounts that were dropped because the capacity for held counts was exceeded. */
  get droppedAccounts (): readonly AccountId[] {
    return this.dropped
  }

  /** Whether no copy is due. Accounts for which no holder is reachable are left out. */
  get isFullyCopied (): boolean {
    return this.dueCopies().length === 0
  }

  tick (): readonly OutboundMessage[] {
    return this.dueCopies()
  }

  receive (from: PeerIdentity, message: MeteringMessage): readonly OutboundMessage[] {
    if (message.kind === 'metering.copy') return [{ to: from.vm, message: this.acceptCopy(from, message) }]
    const { vm, incarnation, sequence, isFinal } = message
    this.acknowledgedBy(from).set(accountKey({ vm, incarnation }), { sequence, isFinal })
    return []
  }

  private acceptCopy (from: PeerIdentity, copy: MeteringCopy): MeteringAcknowledge {
    const id: AccountId = { vm: copy.vm, incarnation: copy.incarnation }
    const held = this.held.get(accountKey(id)) ?? { account: new UsageAccount(id), sender: from }
    const isOwn = id.incarnation === this.options.self.incarnation
    if (!isOwn && copy.base <= held.account.sequence) {
      held.account.applyCopy(copy)
      held.sender = { vm: from.vm, incarnation: from.incarnation }
      // Moved to the end, since eviction starts with the least recently changed account.
      this.held.delete(accountKey(id))
      this.held.set(accountKey(id), held)
      this.evictToCapacity()
    }
    const { sequence, isFinal } = isOwn ? this.options.own : held.account
    return { kind: 'metering.acknowledge', ...id, sequence, isFinal }
  }

  /** Drops the least recently changed accounts over the capacity, and records their ids. */
  private evictToCapacity (): void {
    let size = [...this.held.values()].reduce((sum, { account }) => sum + account.size, 0)
    for (const [key, { account }] of this.held) {
      if (size <= (this.options.heldCountsCapacity ?? heldCountsCapacity)) return
      this.held.delete(key)
      this.dropped.push(account.id)
      if (this.dropped.length > droppedAccountsCapacity) this.dropped.shift()
      size -= account.size
    }
  }

  /** Copies that holders have not acknowledged: of the own account, and of accounts whose sender is gone. */
  private dueCopies (): readonly OutboundMessage[] {
    const peers = this.options.peers()
    const orphans = [...this.held.values()].filter(({ sender }) => !isRunning(sender, peers)).map(({ account }) => account)
    return [this.options.own, ...orphans].flatMap((account) => this.dueCopyOf(account, peers))
  }

  private dueCopyOf (account: UsageAccount, peers: readonly CopyCandidate[]): readonly OutboundMessage[] {
    const holder = this.holderFor(account.id, peers)
    if (holder?.incarnation === undefined || account.sequence === 0) return []
    const acknowledged = this.acknowledgedBy({ vm: holder.vm, incarnation: holder.incarnation }).get(accountKey(account.id))
    const base = acknowledged?.sequence ?? 0
    if (base >= account.sequence && (acknowledged?.isFinal === true || !account.isFinal)) return []
    const { sequence, isFinal, id } = account
    return [{ to: holder.vm, message: { kind: 'metering.copy', ...id, base, sequence, isFinal, counts: account.changedSince(base) } }]
  }

  /** The next VM by name, preferably in another failure domain of this region, else in another region, else any. */
  private holderFor (id: AccountId, peers: readonly CopyCandidate[]): CopyCandidate | undefined {
    const { self } = this.options
    const running = peers.filter(({ vm, reachable }) => reachable && vm !== id.vm)
    const otherDomains = running.filter(({ failureDomain }) => failureDomain !== self.failureDomain)
    const sameRegion = otherDomains.filter(({ region }) => region === self.region)
    const preferred = [sameRegion, otherDomains, running].find((candidates) => candidates.length > 0) ?? []
    const byName = [...preferred].sort((first, second) => first.vm < second.vm ? -1 : 1)
    return byName.find(({ vm }) => vm > self.vm) ?? byName[0]
  }

  private acknowledgedBy (holder: AccountId): Map<string, AcknowledgedState> {
    const existing = this.acknowledged.get(accountKey(holder))
    if (existing !== undefined) return existing
    this.forgetEarlierIncarnations(holder.vm)
    const created = new Map<string, AcknowledgedState>()
    this.acknowledged.set(accountKey(holder), created)
    return created
  }

  private forgetEarlierIncarnations (vm: VmId): void {
    for (const key of this.acknowledged.keys()) {
      if (key.startsWith(`${vm} `)) this.acknowledged.delete(key)
    }
  }
}

const isRunning = ({ vm, incarnation }: AccountId, peers: readonly CopyCandidate[]): boolean =>
  peers.some((peer) => peer.vm === vm && peer.incarnation === incarnation && peer.reachable)
