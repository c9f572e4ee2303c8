/**
 * The components of the daemon on one VM. Actors run their timers and deliver peer messages
 * to them. The request path calls them directly, so that a check and the action it permits run
 * in the same turn of the event loop.
 */

import type { Clock, IncarnationId, RequestIdGenerator } from '@cuminvale/common'
import type { ConfigurationHolder } from '@cuminvale/configuration'
import type { EntryChooser, EntryLoads } from '@cuminvale/entries'
import type { EscrowLimiter } from '@cuminvale/limits'
import type { FailureDetectingMembership } from '@cuminvale/membership'
import type { OutboundMessage, PeerIdentity } from '@cuminvale/messages'
import type { OrderPolicy, OrderLedger, TicketMint } from '@cuminvale/orders'
import type { RequestsByKey, ReplayCache } from '@cuminvale/keys'
import type { ClientDirectory, ConfigurationService, VmList, WeightStore } from '@cuminvale/services'
import type { CrashSuspects, LoadReportExchange, PrefixCacheIndex, RetryPolicy, SuspicionGossip, UpstreamTable } from '@cuminvale/routing'
import type { UsageCopies, UsageMeter } from '@cuminvale/metering'
import type { Log } from '@cuminvale/logs'
import type { DaemonMetrics } from './daemonMetrics.js'
import type { OrderReplication } from './orderReplication.js'
import type { Scheduler } from './scheduler.js'
import type { SecretFile } from './secretFile.js'
import type { Settings } from './settings.js'
import type { UpstreamClient } from './upstreamClient.js'

/** Clients of the platform services that the daemon depends on. */
export interface PlatformClients {
  readonly configurationService: ConfigurationService
  readonly vmList: VmList
  readonly clientDirectory: ClientDirectory
  readonly weightStore: WeightStore
}

export interface VmContext {
  readonly settings: Settings
  readonly clock: Clock
  readonly incarnation: IncarnationId
  readonly identity: PeerIdentity
  readonly requestIds: RequestIdGenerator
  readonly fleetSecret: SecretFile
  readonly administrationToken: SecretFile
  readonly log: Log
  readonly metrics: DaemonMetrics
  readonly platform: PlatformClients
  readonly configuration: ConfigurationHolder
  readonly membership: FailureDetectingMembership
  readonly limiter: EscrowLimiter
  readonly entries: EntryChooser
  readonly entryLoads: EntryLoads
  readonly upstreamTable: UpstreamTable
  readonly loadReportExchange: LoadReportExchange
  readonly prefixCacheIndex: PrefixCacheIndex
  readonly scheduler: Scheduler
  readonly retries: RetryPolicy
  readonly crashSuspects: CrashSuspects
  readonly suspicionGossip: SuspicionGossip
  readonly ticketMint: TicketMint
  readonly ledger: OrderLedger
  readonly orderPolicy: OrderPolicy
  readonly orderReplication: OrderReplication
  readonly replayCache: ReplayCache
  readonly requestsByKey: RequestsByKey
  readonly usageMeter: UsageMeter
  readonly usageCopies: UsageCopies
  readonly upstreamClient: UpstreamClient
  readonly lifecycle: VmLifecycle
  readonly ports: ListeningPorts
  /** Sends messages over the links; those to VMs without a link are dropped. */
  sendToPeers: (outbound: readonly OutboundMessage[]) => void
}

/** Ports that the HTTP servers listen on, 0 until they listen. The settings may ask for port 0, any free port. */
export interface ListeningPorts {
  caller: number
  peer: number
  administration: number
}

/** Tracks whether this VM is draining, and how many requests it is serving. */
export class VmLifecycle {
  private draining = false
  private activeCount = 0
  private readonly idleResolvers: Array<() => void> = []

  get isDraining (): boolean {
    return this.draining
  }

  get activeRequests (): number {
    return this.activeCount
  }

  beginRequest (): void {
    this.activeCount += 1
  }

  endRequest (): void {
    this.activeCount -= 1
    if (this.activeCount === 0) this.idleResolvers.splice(0).forEach((resolve) => resolve())
  }

  drain (): void {
    this.draining = true
  }

  /** Resolves once no request is being served. */
  async whenIdle (): Promise<void> {
    if (this.activeCount === 0) return
    await new Promise<void>((resolve) => this.idleResolvers.push(resolve))
  }
}
