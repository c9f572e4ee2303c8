/**
 * Fake weight store, in memory and over HTTP. It refuses calls
 * above its rate.
 */

import { Result } from 'true-myth'
import { millisecondsPerSecond, runtimeClock, toModelName } from '@cuminvale/common'
import { PlatformError, PlatformErrorKind } from '@cuminvale/services'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock, ModelName } from '@cuminvale/common'
import type { WeightDescription, WeightStore } from '@cuminvale/services'
import { HttpFake, pathOf, sendJson } from './httpFake.js'

const refusedStatus = 429

export class FakeWeightStore implements WeightStore {
  readonly server = new HttpFake((request, response) => this.handle(request, response))
  private recentCalls: number[] = []

  constructor (
    private readonly weights: readonly WeightDescription[],
    private readonly callsPerSecond = Infinity,
    private readonly clock: Clock = runtimeClock
  ) {}

  describe (model: ModelName): Promise<Result<WeightDescription, PlatformError>> {
    return Promise.resolve(this.look(model))
  }

  private look (model: ModelName): Result<WeightDescription, PlatformError> {
    const now = this.clock.monotonic()
    this.recentCalls = this.recentCalls.filter((at) => at > now - millisecondsPerSecond)
    if (this.recentCalls.length >= this.callsPerSecond) {
      return Result.err(new PlatformError(PlatformErrorKind.Refused, 'too many calls a second'))
    }
    this.recentCalls.push(now)
    const weight = this.weights.find((description) => description.model === model)
    if (weight !== undefined) return Result.ok(weight)
    return Result.err(new PlatformError(PlatformErrorKind.Refused, `there is no model "${model}"`))
  }

  private handle (request: IncomingMessage, response: ServerResponse): void {
    const weight = this.look(toModelName(decodeURIComponent(pathOf(request).pathname.replace('/v1/weights/', ''))))
    if (weight.isOk) return sendJson(response, 200, weight.value)
    sendJson(response, refusedStatus, { error: weight.error.message })
  }
}
