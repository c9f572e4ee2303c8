/**
 * The platform's client directory, which maps a caller's address to a region.
 */

import type { Maybe, Result } from 'true-myth'
import type { RegionId } from '@cuminvale/common'
import type { PlatformError } from './errors.js'

export interface ClientDirectory {
  /** Resolves to `Nothing` if the directory does not know the address. */
  regionOf (address: string): Promise<Result<Maybe<RegionId>, PlatformError>>
}
