/**
 * Builds the components that the daemon of one VM runs on, from its settings.
 */

import { FairQueue, SlotReserve, defaultFairQueueBounds } from '@cuminvale/admission'
import { RequestIdGenerator, newIncarnationId, runtimeClock, runtimeRandom } from '@cuminvale/common'
import { ConfigurationHolder } from '@cuminvale/configuration'
import { EscrowLimiter } from '@cuminvale/limits'
import { FailureDetectingMembership, RegionTopology } from '@cuminvale/membership'
import { UsageAccount, UsageCopies, UsageMeter } from '@cuminvale/metering'
import { RequestsByKey, ReplayCache, replayCacheCapacityProofs } from '@cuminvale/keys'
import { OrderPolicy, OrderLedger, TicketMint, ledgerCapacityRecords, ledgerCapacityBytes } from '@cuminvale/orders'
import { HttpClientDirectory, HttpConfigurationService, HttpVmList, HttpWeightStore } from '@cuminvale/services'
import { CrashSuspects, RetryBudget, SuspicionGossip, UpstreamTable, estimatedForwardBytes } from '@cuminvale/routing'
import { crashSuspectCapacity } from './constants.js'
import { createEntryChooser, createEntryLoads } from './entrySelection.js'
import { reachableLinkedVms } from './limiterMembership.js'
import { createRouting } from './createRouting.js'
import { createLog } from '@cuminvale/logs'
import { DaemonMetrics } from './daemonMetrics.js'
import { OrderReplication } from './orderReplication.js'
import { Scheduler } from './scheduler.js'
import { SecretFile } from './secretFile.js'
import { reachableLivePeers } from './reachableLivePeers.js'
import { UpstreamPools } from './upstreamPools.js'
import { weightShare } from './weightShare.js'
import { usageCopyCandidates } from './usageReplication.js'
import { UpstreamClient } from './upstreamClient.js'
import { VmLifecycle } from './vmContext.js'
import type { WaitingRequest } from './scheduler.js'
import type { Settings } from './settings.js'
import type { PlatformClients, VmContext } from './vmContext.js'

const createPlatform = (settings: Settings): PlatformClients => ({
  configurationService: new HttpConfigurationService(settings.platform['configuration-service']),
  vmList: new HttpVmList(settings.platform['vm-list']),
  clientDirectory: new HttpClientDirectory(settings.platform['client-directory']),
  weightStore: new HttpWeightStore(settings.platform['weight-store'])
})

export const createVmContext = (settings: Settings): VmContext => {
  const clock = runtimeClock
  const random = runtimeRandom
  const incarnation = newIncarnationId()
  const identity = {
    vm: settings.vm.name, incarnation, region: settings.vm.region, failureDomain: settings.vm['failure-domain']
  }
  const configuration = new ConfigurationHolder()
  const log = createLog(identity.vm)
  const membership = new FailureDetectingMembership({
    self: identity,
    clock,
    random,
    topology: new RegionTopology(),
    onResume: (awayMilliseconds) => log.warn('was-paused', { awayMilliseconds: Math.round(awayMilliseconds) })
  })
  const upstreamTable = new UpstreamTable(clock)
  const lifecycle = new VmLifecycle()
  const limiter = new EscrowLimiter({
    clock,
    random,
    self: identity,
    peers: reachableLinkedVms(membership),
    listLagMilliseconds: settings.platform['vm-list-lag-milliseconds']
  })
  const usageAccount = new UsageAccount(identity)
  const metrics = new DaemonMetrics()
  const requestsByKey = new RequestsByKey()
  configuration.onChange((inForce) => {
    requestsByKey.stopWithdrawn(inForce)
    limiter.configure(inForce)
    upstreamTable.configure(inForce)
    metrics.revision.set(inForce.revision)
  })
  const routing = createRouting({ clock, random, settings, identity, configuration, membership, table: upstreamTable })
  const upstreamPools = new UpstreamPools({ region: identity.region, configuration: () => configuration.current })
  const scheduler = new Scheduler({
    clock,
    region: identity.region,
    queue: new FairQueue<WaitingRequest>({
      ...defaultFairQueueBounds,
      clock,
      capacityRequests: settings.requests['queue-capacity'],
      deadlineSlack: settings.policy['deadline-slack'],
      agingMilliseconds: settings.policy['batch-aging-milliseconds'],
      interactiveHeadStartTokens: settings.policy['interactive-head-start-tokens']
    }),
    chooser: routing.chooser,
    table: upstreamTable,
    remoteRegions: routing.remoteRegions,
    onForward: (request, region) => {
      routing.regionDigests.sent(region, request)
      routing.linkBudget.spend(region, estimatedForwardBytes(request))
    },
    poolOf: (request) => upstreamPools.poolOf(request),
    reserve: new SlotReserve({
      clock,
      reservedSlotShare: settings.policy['reserved-slot-share'],
      weightShare: (team) => weightShare(configuration.current, team),
      vmCount: routing.vmCount
    })
  })
  const crashSuspects = new CrashSuspects({ clock, capacity: crashSuspectCapacity })
  const ticketMint = new TicketMint({ clock, vm: identity.vm, incarnation })
  const ledger = new OrderLedger({ clock, capacity: ledgerCapacityRecords, capacityBytes: ledgerCapacityBytes })
  return {
    settings,
    clock,
    incarnation,
    identity,
    requestIds: new RequestIdGenerator(incarnation),
    fleetSecret: new SecretFile(settings.security['fleet-secret-file']),
    administrationToken: new SecretFile(settings.security['administration-token-file']),
    log,
    metrics,
    platform: createPlatform(settings),
    configuration,
    membership,
    limiter,
    entries: createEntryChooser(settings, random),
    entryLoads: createEntryLoads({ settings, clock, random, membership, lifecycle }),
    upstreamTable,
    loadReportExchange: routing.loadReportExchange,
    prefixCacheIndex: routing.prefixCacheIndex,
    scheduler,
    retries: new RetryBudget({ clock, random }),
    crashSuspects,
    suspicionGossip: new SuspicionGossip({ clock, random, suspects: crashSuspects, peers: reachableLivePeers(membership) }),
    ticketMint,
    ledger,
    orderPolicy: new OrderPolicy({ mint: ticketMint, ledger, peer: (vm) => membership.find(vm) }),
    orderReplication: new OrderReplication({ clock, identity, membership }),
    replayCache: new ReplayCache(replayCacheCapacityProofs),
    requestsByKey,
    usageMeter: new UsageMeter(usageAccount),
    usageCopies: new UsageCopies({ self: identity, own: usageAccount, peers: usageCopyCandidates(membership) }),
    upstreamClient: new UpstreamClient(),
    lifecycle,
    ports: { caller: 0, peer: 0, administration: 0 },
    sendToPeers: () => {}
  }
}
