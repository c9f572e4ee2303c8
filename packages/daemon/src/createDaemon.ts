/**
 * Assembles `cuminvaled` on one VM: the components of its context, the actor supervisors,
 * the links to other VMs, and the HTTP servers.
 */

import { dispatch, spawnStateless, start } from 'nact'
import { onInvariantViolation, runtimeRandom } from '@cuminvale/common'
import { ConfigurationGossip } from '@cuminvale/configuration'
import { mechanismOf } from '@cuminvale/messages'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Ref } from 'nact'
import type { Mechanism, OutboundMessage } from '@cuminvale/messages'
import { createAdministrationServer } from './administrationServer.js'
import { createDaemonCallerServer } from './daemonCallerServer.js'
import { configurationRetryIntervalMilliseconds, vmListPollIntervalMilliseconds } from './constants.js'
import { createVmContext } from './createVmContext.js'
import { DaemonPeerLinks } from './daemonPeerLinks.js'
import { createCacheEventsPoll, createLoadPoll } from './loadPolls.js'
import { createPeerServer } from './peerServer.js'
import { createConfigurationPoll, createVmListPoll, logConfigurationAcceptance } from './platformPolls.js'
import { reachableLivePeers } from './reachableLivePeers.js'
import { spawnPollingActor } from './pollingActor.js'
import { spawnProtocolActor } from './protocolActor.js'
import { shutdown } from './shutdown.js'
import type { ProtocolActor } from './protocolActor.js'
import type { Settings } from './settings.js'
import type { VmContext } from './vmContext.js'

export interface Daemon {
  readonly context: VmContext
  /** Stops being offered to callers by `/v1/entries`, finishes the requests in progress, then closes. */
  shutdown (): Promise<void>
}

const listenOnPort = async (server: Server, host: string, port: number): Promise<number> => {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return (server.address() as AddressInfo).port
}

/** Peer protocols and platform polls have separate supervisors, so that a crash under one does not affect the other. */
const spawnSupervisors = (system: Ref<never>) => ({
  mechanisms: spawnStateless(system, () => {}, 'mechanisms') as Ref<never>,
  platform: spawnStateless(system, () => {}, 'platform') as Ref<never>
})

const spawnProtocolActors = (
  parent: Ref<never>,
  context: VmContext,
  send: (outbound: readonly OutboundMessage[]) => void
): ReadonlyMap<Mechanism, ProtocolActor> => {
  const configurationProtocol = new ConfigurationGossip({
    holder: context.configuration,
    random: runtimeRandom,
    peers: reachableLivePeers(context.membership),
    onAcceptance: (acceptance) => logConfigurationAcceptance(context, acceptance)
  })
  context.configuration.onChange(() => send(configurationProtocol.announce()))
  context.orderReplication.setSender(send)
  return new Map<Mechanism, ProtocolActor>([
    ['orders', spawnProtocolActor(parent, { name: 'orders', protocol: context.orderReplication.copies, send, log: context.log })],
    ['configuration', spawnProtocolActor(parent, { name: 'configuration', protocol: configurationProtocol, send, log: context.log })],
    ['routing', spawnProtocolActor(parent, { name: 'routing', protocol: context.loadReportExchange, send, log: context.log })],
    ['suspicion', spawnProtocolActor(parent, {
      name: 'suspicion', protocol: context.suspicionGossip, send, log: context.log
    })],
    ['entries', spawnProtocolActor(parent, { name: 'entries', protocol: context.entryLoads, send, log: context.log })],
    ['limits', spawnProtocolActor(parent, { name: 'limits', protocol: context.limiter, send, log: context.log })],
    ['metering', spawnProtocolActor(parent, { name: 'metering', protocol: context.usageCopies, send, log: context.log })],
    ['membership', spawnProtocolActor(parent, { name: 'membership', protocol: context.membership, send, log: context.log })]
  ])
}

const spawnPolls = (parent: Ref<never>, context: VmContext, links: DaemonPeerLinks): void => {
  const { log } = context
  spawnPollingActor(parent, {
    name: 'configuration-service', poll: createConfigurationPoll(context), retryMilliseconds: configurationRetryIntervalMilliseconds, log
  })
  spawnPollingActor(parent, {
    name: 'vm-list', poll: createVmListPoll(context, links), retryMilliseconds: vmListPollIntervalMilliseconds, log
  })
  spawnPollingActor(parent, {
    name: 'upstream-load', poll: createLoadPoll(context), retryMilliseconds: vmListPollIntervalMilliseconds, log
  })
  spawnPollingActor(parent, {
    name: 'cache-events', poll: createCacheEventsPoll(context), retryMilliseconds: vmListPollIntervalMilliseconds, log
  })
}

const reportInvariantViolations = (context: VmContext): void => {
  onInvariantViolation((error) => {
    context.metrics.invariantViolations.inc({ invariant: error.invariant })
    context.log.error('invariant-violated', { invariant: error.invariant, detail: error.message })
  })
}

const createLinks = (context: VmContext, actors: () => ReadonlyMap<Mechanism, ProtocolActor>): DaemonPeerLinks =>
  new DaemonPeerLinks({
    self: context.identity,
    secret: context.fleetSecret,
    onMessage: (from, message) => {
      const actor = actors().get(mechanismOf(message))
      if (actor !== undefined) dispatch(actor, { type: 'peer', from, message })
    },
    onUp: (peer) => {
      context.membership.onLinkUp(peer.vm, peer.incarnation)
      context.log.info('peer-up', { peer: peer.vm, incarnation: peer.incarnation })
    },
    onDown: (peer) => {
      context.membership.onLinkDown(peer.vm)
      context.log.info('peer-down', { peer: peer.vm })
    }
  })

export const createDaemon = async (settings: Settings): Promise<Daemon> => {
  const context = createVmContext(settings)
  reportInvariantViolations(context)
  const system = start(settings.vm.name)
  const supervisors = spawnSupervisors(system as Ref<never>)
  let actors: ReadonlyMap<Mechanism, ProtocolActor> = new Map()
  const links = createLinks(context, () => actors)
  const send = (outbound: readonly OutboundMessage[]): void => outbound.forEach(({ to, message }) => links.send(to, message))
  context.sendToPeers = send
  const servers = [createDaemonCallerServer(context), createPeerServer(context), createAdministrationServer(context)] as const
  const { host } = settings.listen
  context.ports.peer = await listenOnPort(servers[1], host, settings.listen['peer-port'])
  links.start(servers[1])
  actors = spawnProtocolActors(supervisors.mechanisms, context, send)
  spawnPolls(supervisors.platform, context, links)
  context.ports.caller = await listenOnPort(servers[0], host, settings.listen['caller-port'])
  context.ports.administration = await listenOnPort(servers[2], host, settings.listen['administration-port'])
  context.log.info('started', { region: context.identity.region, incarnation: context.incarnation })
  return { context, shutdown: async () => await shutdown({ context, links, servers, system: system as Ref<never> }) }
}
