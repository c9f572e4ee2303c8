/**
 * Requests in progress by the key that they came with, so that those of a
 * withdrawn key are stopped as soon as the configuration without it is in force.
 */

import type { KeyDigest } from '@cuminvale/common'
import type { Configuration } from '@cuminvale/documents'
import { isKeyInForce } from './keyCheck.js'
import type { KeyIdentity } from './keyCheck.js'

interface KeyedRequest {
  readonly identity: KeyIdentity
  readonly stop: () => void
}

export class KeyedRequests {
  private readonly byKey = new Map<KeyDigest, Set<KeyedRequest>>()

  /** Number of keys with requests in progress. */
  get size (): number {
    return this.byKey.size
  }

  /** Watches over a request until the returned function is called. */
  watch (identity: KeyIdentity, stop: () => void): () => void {
    const request: KeyedRequest = { identity, stop }
    const requests = this.byKey.get(identity.digest) ?? new Set()
    this.byKey.set(identity.digest, requests.add(request))
    return () => {
      requests.delete(request)
      if (requests.size === 0 && this.byKey.get(identity.digest) === requests) this.byKey.delete(identity.digest)
    }
  }

  /** Stops every request whose key is no longer in force. */
  configure (configuration: Configuration): void {
    for (const requests of this.byKey.values()) {
      for (const { identity, stop } of requests) {
        if (!isKeyInForce(identity, configuration)) stop()
      }
    }
  }
}
