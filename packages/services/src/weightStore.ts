/**
 * The platform's store of model weights. Engines load weights from it; the
 * gateway reads sizes and rates to pace the loads that it orders.
 */

import type { Result } from 'true-myth'
import type { ModelName, RegionId } from '@cuminvale/common'
import type { PlatformError } from './errors.js'

export interface WeightDescription {
  readonly model: ModelName
  readonly version: string
  readonly bytes: number
  /** Region in which the store is located. */
  readonly region: RegionId
  readonly rateBytesPerSecond: number
}

export interface WeightStore {
  describe (model: ModelName): Promise<Result<WeightDescription, PlatformError>>
}
