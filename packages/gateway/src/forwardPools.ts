/**
 * Connection pools to the forward servers of other gateway processes, by
 * address.
 */

import { Pool } from 'undici'
import { peerConnectTimeoutMilliseconds } from './constants.js'

/** Limit of concurrent requests that one VM forwards to another. */
const maximumConnectionsPerPeer = 96
const keepAliveMilliseconds = 15_000

export class ForwardPools {
  private readonly pools = new Map<string, Pool>()

  poolFor (address: string): Pool {
    const existing = this.pools.get(address)
    if (existing !== undefined) return existing
    const pool = new Pool(`http://${address}`, {
      connections: maximumConnectionsPerPeer,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: keepAliveMilliseconds,
      connect: { timeout: peerConnectTimeoutMilliseconds }
    })
    this.pools.set(address, pool)
    return pool
  }

  drop (address: string): void {
    const pool = this.pools.get(address)
    this.pools.delete(address)
    pool?.destroy().catch(() => { /* destroy() rejects only on a second call */ })
  }

  closeAll (): void {
    for (const address of [...this.pools.keys()]) this.drop(address)
  }
}
