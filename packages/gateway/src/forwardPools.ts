/**
 * Connections to the forward servers of other VMs.
 */

import { Pool } from 'undici'
import { peerConnectMilliseconds } from './constants.js'

/** Requests that one VM forwards to another at a time. */
const connectionsPerPeer = 96
const keepAliveMilliseconds = 15_000

export class ForwardPools {
  private readonly pools = new Map<string, Pool>()

  poolOf (address: string): Pool {
    const held = this.pools.get(address)
    if (held !== undefined) return held
    const pool = new Pool(`http://${address}`, {
      connections: connectionsPerPeer,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: keepAliveMilliseconds,
      connect: { timeout: peerConnectMilliseconds }
    })
    this.pools.set(address, pool)
    return pool
  }

  drop (address: string): void {
    const pool = this.pools.get(address)
    this.pools.delete(address)
    pool?.destroy().catch(() => { /* a second call only */ })
  }

  closeAll (): void {
    for (const address of [...this.pools.keys()]) this.drop(address)
  }
}
