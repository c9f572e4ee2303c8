/**
 * Fake client directory, in memory and over HTTP.
 */

import { Maybe, Result } from 'true-myth'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { RegionId } from '@cuminvale/common'
import type { ClientDirectory, PlatformError } from '@cuminvale/services'
import { LoopbackHttpServer, urlOf, sendJson } from './loopbackHttpServer.js'

export class FakeClientDirectory implements ClientDirectory {
  readonly server = new LoopbackHttpServer((request, response) => this.handle(request, response))
  private readonly regions = new Map<string, RegionId>()

  set (address: string, region: RegionId): void {
    this.regions.set(address, region)
  }

  regionOf (address: string): Promise<Result<Maybe<RegionId>, PlatformError>> {
    return Promise.resolve(Result.ok(Maybe.of(this.regions.get(address))))
  }

  private handle (request: IncomingMessage, response: ServerResponse): void {
    const address = decodeURIComponent(urlOf(request).pathname.replace('/v1/clients/', ''))
    sendJson(response, 200, { region: this.regions.get(address) ?? null })
  }
}
