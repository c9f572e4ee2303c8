/**
 * HTTP client for the weight store.
 */

import { z } from 'zod'
import { toModelName, toRegionId } from '@cuminvale/common'
import type { Result } from 'true-myth'
import type { ModelName } from '@cuminvale/common'
import { callJson } from './jsonCall.js'
import type { PlatformError } from './errors.js'
import type { WeightDescription, WeightStore } from './weightStore.js'

const descriptionSchema = z.object({
  model: z.string().transform(toModelName),
  version: z.string(),
  bytes: z.number().nonnegative(),
  region: z.string().transform(toRegionId),
  rateBytesPerSecond: z.number().positive()
})
const timeoutMilliseconds = 2_000

export class HttpWeightStore implements WeightStore {
  constructor (private readonly base: string) {}

  async describe (model: ModelName): Promise<Result<WeightDescription, PlatformError>> {
    return await callJson({
      url: `${this.base}/v1/weights/${encodeURIComponent(model)}`, schema: descriptionSchema, timeoutMilliseconds
    })
  }
}
