/**
 * Stand-in for the client directory.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { RegionId } from '@cuminvale/common'
import { HttpFake, pathOf, sendJson } from './httpFake.js'

export class FakeClientDirectory {
  readonly server = new HttpFake((request, response) => this.handle(request, response))
  private readonly regions = new Map<string, RegionId>()

  set (address: string, region: RegionId): void {
    this.regions.set(address, region)
  }

  private handle (request: IncomingMessage, response: ServerResponse): void {
    const address = decodeURIComponent(pathOf(request).pathname.replace('/v1/clients/', ''))
    sendJson(response, 200, { region: this.regions.get(address) ?? null })
  }
}
