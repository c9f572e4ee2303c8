/**
 * Asks an upstream for its health, which names its id and how long it stays
 * cold. The request takes a place of the upstream like any other, and goes over
 * a pooled connection.
 */

import { UpstreamCall } from './upstreamCall.js'
import { inspectionTimeoutMilliseconds, maximumDiscardedAnswerBytes } from './constants.js'
import type { AnnouncedUpstream } from '@cuminvale/serving'
import type { CallFailure } from './errors.js'
import type { RequestCodec, UpstreamHealth } from './types.js'
import type { UpstreamConnections } from './upstreamConnections.js'

export interface InspectionOptions {
  readonly connections: UpstreamConnections
  readonly codec: Pick<RequestCodec, 'decodeHealth'>
  readonly upstream: AnnouncedUpstream
  readonly healthPath: string
}

/** Resolves with what the upstream said; undefined if it said nothing in time, or nothing that can be read. */
export const inspectUpstream = async ({ connections, codec, upstream, healthPath }: InspectionOptions): Promise<UpstreamHealth | CallFailure | undefined> => await new Promise((resolve) => {
  let health: UpstreamHealth | undefined
  let bodyBytes = 0
  const finish = (result: UpstreamHealth | CallFailure | undefined): void => {
    clearTimeout(timer)
    resolve(result)
  }
  const connection = connections.acquire(upstream, { isOrder: false, isSingleUse: false })
  const call = new UpstreamCall(connections, connection, {
    onHead: (status, headers) => { health = codec.decodeHealth(status, headers) },
    onData: (chunk) => {
      bodyBytes += chunk.length
      if (bodyBytes > maximumDiscardedAnswerBytes) giveUp()
      return true
    },
    onEnd: () => {
      finish(health)
      // An answer that names no upstream may be a late one to another request, whose own would follow.
      return health !== undefined
    },
    onFailure: finish
  })
  const giveUp = (): void => {
    call.abort()
    finish(undefined)
  }
  const timer = setTimeout(giveUp, inspectionTimeoutMilliseconds)
  call.send({ method: 'GET', path: healthPath, headers: [], body: null })
})
