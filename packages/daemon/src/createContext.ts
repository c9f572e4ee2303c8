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
import { createEntryChooser, createEntryLoads } from './entryWiring.js'
import { reachableVms } from './limitWiring.js'
import { createRouting } from './createRouting.js'
import { createLog } from '@cuminvale/logs'
import { Metrics } from './metrics.js'
import { OrderPeers } from './orderPeers.js'
import { Scheduler } from './scheduler.js'
import { SecretFile } from './secrets.js'
import { reachablePeers } from './reachablePeers.js'
import { UpstreamPools } from './upstreamPools.js'
import { weightShare } from './weightShare.js'
import { usagePeers } from './usageWiring.js'
import { UpstreamClient } from './upstreamClient.js'
import { Lifecycle } from './vmContext.js'
import type { Waiting } from './scheduler.js'
import type { Settings } from './settings.js'
import type { Platform, VmContext } from './vmContext.js'

const createPlatform = (settings: Settings): Platform => ({
  configurationService: new HttpConfigurationService(settings.platform['configuration-service']),
  vmList: new HttpVmList(settings.platform['vm-list']),
  clientDirectory: new HttpClientDirectory(settings.platform['client-directory']),
  weightStore: new HttpWeightStore(settings.platform['weight-store'])
})

export const createContext = (settings: Settings): VmContext => {
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
  const lifecycle = new Lifecycle()
  const limiter = new EscrowLimiter({
    clock,
    random,
    self: identity,
    peers: reachableVms(membership),
    listLagMilliseconds: settings.platform['vm-list-lag-milliseconds']
  })
  const usageAccount = new UsageAccount(identity)
  const metrics = new Metrics()
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
    queue: new FairQueue<Waiting>({
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
    table: upstreamTable,
    loadSharing: routing.loadReportExchange,
    prefixes: routing.prefixCacheIndex,
    scheduler,
    retries: new RetryBudget({ clock, random }),
    suspects: crashSuspects,
    suspicionSpread: new SuspicionGossip({ clock, random, suspects: crashSuspects, peers: reachablePeers(membership) }),
    mint: ticketMint,
    ledger,
    orderGate: new OrderPolicy({ mint: ticketMint, ledger, peer: (vm) => membership.find(vm) }),
    orderPeers: new OrderPeers({ clock, identity, membership }),
    seenProofs: new ReplayCache(replayCacheCapacityProofs),
    keyedRequests: requestsByKey,
    meter: new UsageMeter(usageAccount),
    usageCopies: new UsageCopies({ self: identity, own: usageAccount, peers: usagePeers(membership) }),
    upstreamClient: new UpstreamClient(),
    lifecycle,
    ports: { caller: 0, peer: 0, administration: 0 },
    sendToPeers: () => {}
  }
}
