/**
 * The platform's list of live and leaving VMs. It may be out of date.
 */

import type { Result } from 'true-myth'
import type { ListedVm } from '@cuminvale/common'
import type { PlatformError } from './errors.js'

export interface VmList {
  list (): Promise<Result<readonly ListedVm[], PlatformError>>
}
