/**
 * HTTP server of the daemon for the administration API, metrics and health checks, on its own port.
 */

import { createServer } from 'node:http'
import { timingSafeEqual } from 'node:crypto'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { answerExplain } from './explainEndpoint.js'
import { sendJson } from './sendJson.js'
import { usageAnswer } from './usageReplication.js'
import type { VmContext } from './vmContext.js'

const bearerPrefix = 'Bearer '

const isAuthorized = (context: VmContext, incoming: IncomingMessage): boolean => {
  const header = incoming.headers.authorization ?? ''
  if (!header.startsWith(bearerPrefix)) return false
  const presentedToken = Buffer.from(header.slice(bearerPrefix.length))
  return context.administrationToken.accepted.some((token) =>
    token.length === presentedToken.length && timingSafeEqual(token, presentedToken))
}

export const isReady = (context: VmContext): boolean =>
  context.configuration.current !== undefined && context.membership.hasList && context.limiter.isHolding &&
  !context.membership.isReplaced && !context.lifecycle.isDraining

const status = (context: VmContext) => ({
  vm: context.identity.vm,
  region: context.identity.region,
  failureDomain: context.identity.failureDomain,
  incarnation: context.incarnation,
  revision: context.configuration.current?.revision ?? null,
  ready: isReady(context),
  draining: context.lifecycle.isDraining,
  activeRequests: context.lifecycle.activeRequests,
  queueLength: context.scheduler.queueLength,
  members: context.membership.members.map(({ vm, reachable }) => ({
    vm: vm.name, reachable, administrationAddress: `http://${vm.host}:${vm.administrationPort}`
  }))
})

const handleAdministration = (context: VmContext, incoming: IncomingMessage, response: ServerResponse): void => {
  const url = new URL(incoming.url ?? '/', 'http://administration')
  if (!isAuthorized(context, incoming)) return sendJson(response, 401, { error: 'send the administration token' })
  if (url.pathname === '/administration/status') return sendJson(response, 200, status(context))
  if (url.pathname === '/administration/explain') return answerExplain(context, url.searchParams, response)
  if (url.pathname === '/administration/usage') {
    return sendJson(response, 200, usageAnswer(context))
  }
  if (url.pathname === '/administration/documents') {
    return sendJson(response, 200, context.configuration.currentPublishedRevision ?? null)
  }
  if (url.pathname === '/administration/drain' && incoming.method === 'POST') {
    context.lifecycle.drain()
    return sendJson(response, 200, status(context))
  }
  sendJson(response, 404, { error: 'no such path' })
}

const handle = async (context: VmContext, incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
  if (incoming.url === '/healthz') return sendJson(response, 200, { healthy: true })
  if (incoming.url === '/readyz') return sendJson(response, isReady(context) ? 200 : 503, { ready: isReady(context) })
  if (incoming.url === '/metrics') {
    context.metrics.queueLength.set(context.scheduler.queueLength)
    response.writeHead(200, { 'content-type': context.metrics.registry.contentType })
    response.end(await context.metrics.registry.metrics())
    return
  }
  handleAdministration(context, incoming, response)
}

export const createAdministrationServer = (context: VmContext): Server =>
  createServer((incoming, response) => {
    handle(context, incoming, response).catch(() => response.destroy())
  })
