/**
 * Requests in progress, indexed by caller key. When a configuration without a
 * key takes effect, the requests that came with that key are stopped.
 */

import type { KeyDigest } from '@cuminvale/common'
import type { Configuration } from '@cuminvale/documents'
import { isKeyInForce } from './keyCheck.js'
import type { KeyIdentity } from './keyCheck.js'

interface TrackedRequest {
  readonly identity: KeyIdentity
  readonly stop: () => void
}

export class RequestsByKey {
  private readonly byKey = new Map<KeyDigest, Set<TrackedRequest>>()

  /** Number of keys with requests in progress. */
  get size (): number {
    return this.byKey.size
  }

  /** Adds a request; the returned function removes it and is called when the request ends. */
  add (identity: KeyIdentity, stop: () => void): () => void {
    const request: TrackedRequest = { identity, stop }
    const requests = this.byKey.get(identity.digest) ?? new Set()
    this.byKey.set(identity.digest, requests.add(request))
    return () => {
      requests.delete(request)
      if (requests.size === 0 && this.byKey.get(identity.digest) === requests) this.byKey.delete(identity.digest)
    }
  }

  /** Stops every request whose key was withdrawn or assigned to another team. */
  stopWithdrawn (configuration: Configuration): void {
    for (const requests of this.byKey.values()) {
      for (const { identity, stop } of requests) {
        if (!isKeyInForce(identity, configuration)) stop()
      }
    }
  }
}
