/**
 * Stand-in for the weight store.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { WeightDescription } from '@cuminvale/platform'
import { HttpFake, pathOf, sendJson } from './httpFake.js'

export class FakeWeightStore {
  readonly server = new HttpFake((request, response) => this.handle(request, response))

  constructor (private readonly weights: readonly WeightDescription[]) {}

  private handle (request: IncomingMessage, response: ServerResponse): void {
    const name = decodeURIComponent(pathOf(request).pathname.replace('/v1/weights/', ''))
    const weight = this.weights.find(({ model }) => model === name)
    if (weight === undefined) return sendJson(response, 404, { error: 'no such model' })
    sendJson(response, 200, weight)
  }
}
