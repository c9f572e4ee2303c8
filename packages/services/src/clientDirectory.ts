/**
 * The platform's client directory: which region a caller's address is in.
 */

import type { Maybe, Result } from 'true-myth'
import type { RegionId } from '@cuminvale/common'
import type { PlatformError } from './errors.js'

export interface ClientDirectory {
  /** Nothing where the directory does not know the address. */
  regionOf (address: string): Promise<Result<Maybe<RegionId>, PlatformError>>
}
