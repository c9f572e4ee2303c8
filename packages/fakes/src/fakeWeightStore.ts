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
import { LoopbackHttpServer, urlOf, sendJson } from './loopbackHttpServer.js'

const refusedStatus = 429

export class FakeWeightStore implements WeightStore {
  readonly server = new LoopbackHttpServer((request, response) => this.handle(request, response))
  private recentCallTimes: number[] = []

  constructor (
    private readonly weights: readonly WeightDescription[],
    private readonly callsPerSecond = Infinity,
    private readonly clock: Clock = runtimeClock
  ) {}

  describe (model: ModelName): Promise<Result<WeightDescription, PlatformError>> {
    return Promise.resolve(this.lookUp(model))
  }

  private lookUp (model: ModelName): Result<WeightDescription, PlatformError> {
    const now = this.clock.monotonic()
    this.recentCallTimes = this.recentCallTimes.filter((at) => at > now - millisecondsPerSecond)
    if (this.recentCallTimes.length >= this.callsPerSecond) {
      return Result.err(new PlatformError(PlatformErrorKind.Refused, 'too many calls a second'))
    }
    this.recentCallTimes.push(now)
    const description = this.weights.find((candidate) => candidate.model === model)
    if (description !== undefined) return Result.ok(description)
    return Result.err(new PlatformError(PlatformErrorKind.Refused, `there is no model "${model}"`))
  }

  private handle (request: IncomingMessage, response: ServerResponse): void {
    const description = this.lookUp(toModelName(decodeURIComponent(urlOf(request).pathname.replace('/v1/weights/', ''))))
    if (description.isOk) return sendJson(response, 200, description.value)
    sendJson(response, refusedStatus, { error: description.error.message })
  }
}
