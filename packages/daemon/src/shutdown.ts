/**
 * Graceful shutdown of the daemon. `/v1/entries` no longer offers the VM, which waits until callers
 * have had time to refresh that list. It finishes every request in progress and those that still arrive
 * on open connections. It hands over its used order tickets and usage counts before it closes its links.
 */

import { stop } from 'nact'
import { assertInvariant } from '@cuminvale/common'
import type { Server } from 'node:http'
import type { Ref } from 'nact'
import { drainNoticeMilliseconds, idleCloseIntervalMilliseconds } from './constants.js'
import type { DaemonPeerLinks } from './daemonPeerLinks.js'
import { handOverUsage } from './usageReplication.js'
import type { VmContext } from './vmContext.js'

export interface RunningDaemon {
  readonly context: VmContext
  readonly links: DaemonPeerLinks
  readonly servers: readonly Server[]
  readonly system: Ref<never>
}

/** Stops listening, and closes each connection once it is idle. */
const closeWhenIdle = async (server: Server): Promise<void> => {
  const idleCloseTimer = setInterval(() => server.closeIdleConnections(), idleCloseIntervalMilliseconds)
  await new Promise<void>((resolve) => {
    server.close(() => resolve())
    server.closeIdleConnections()
  })
  clearInterval(idleCloseTimer)
}

export const shutdown = async ({ context, links, servers, system }: RunningDaemon): Promise<void> => {
  context.lifecycle.drain()
  context.log.info('draining', { activeRequests: context.lifecycle.activeRequests })
  await new Promise((resolve) => setTimeout(resolve, drainNoticeMilliseconds))
  const [callers, peers, administration] = servers
  if (callers !== undefined) await closeWhenIdle(callers)
  await context.lifecycle.whenIdle()
  assertInvariant(context.lifecycle.activeRequests === 0, 'shutdown-cuts-none',
    () => `${context.lifecycle.activeRequests} requests are running while the links close`)
  await context.orderReplication.handOverUsedTickets(context.ledger.close())
  await handOverUsage(context, (outbound) => outbound.forEach(({ to, message }) => links.send(to, message)))
  links.stop()
  for (const server of [peers, administration]) {
    if (server !== undefined) await closeWhenIdle(server)
  }
  context.scheduler.stop()
  stop(system)
  await context.upstreamClient.close()
  context.log.info('stopped')
}
