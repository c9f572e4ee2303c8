/**
 * Fake VM list, in memory and over HTTP. Changes become visible after a lag.
 */

import { Result } from 'true-myth'
import { runtimeClock } from '@cuminvale/common'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock, ListedVm } from '@cuminvale/common'
import type { PlatformError, VmList } from '@cuminvale/services'
import { LoopbackHttpServer, urlOf, sendJson } from './loopbackHttpServer.js'

interface VmListVersion {
  readonly visibleAt: number
  readonly vms: readonly ListedVm[]
}

export class FakeVmList implements VmList {
  readonly server = new LoopbackHttpServer((request, response) => this.handle(request, response))
  private readonly versions: VmListVersion[] = []

  constructor (private readonly lagMilliseconds = 0, private readonly clock: Clock = runtimeClock) {}

  set (vms: readonly ListedVm[]): void {
    this.versions.push({ visibleAt: this.clock.monotonic() + this.lagMilliseconds, vms })
  }

  list (): Promise<Result<readonly ListedVm[], PlatformError>> {
    const now = this.clock.monotonic()
    return Promise.resolve(Result.ok(this.versions.findLast(({ visibleAt }) => visibleAt <= now)?.vms ?? []))
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (urlOf(request).pathname !== '/v1/vms') return sendJson(response, 404, { error: 'no such path' })
    sendJson(response, 200, { vms: (await this.list()).unwrapOr([]) })
  }
}
