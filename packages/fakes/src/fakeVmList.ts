/**
 * Stand-in for the VM list; changes show after a lag.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ListedVm } from '@cuminvale/common'
import { HttpFake, pathOf, sendJson } from './httpFake.js'

export class FakeVmList {
  readonly server = new HttpFake((request, response) => this.handle(request, response))
  private shown: readonly ListedVm[] = []

  constructor (private readonly lagMilliseconds = 0) {}

  set (vms: readonly ListedVm[]): void {
    if (this.lagMilliseconds === 0) {
      this.shown = vms
      return
    }
    setTimeout(() => { this.shown = vms }, this.lagMilliseconds).unref()
  }

  private handle (request: IncomingMessage, response: ServerResponse): void {
    if (pathOf(request).pathname !== '/v1/vms') return sendJson(response, 404, { error: 'no such path' })
    sendJson(response, 200, { vms: this.shown })
  }
}
