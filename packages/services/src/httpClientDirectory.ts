/**
 * HTTP client for the client directory.
 */

import { Maybe } from 'true-myth'
import { z } from 'zod'
import { isIdentifier, toRegionId } from '@cuminvale/common'
import type { Result } from 'true-myth'
import type { RegionId } from '@cuminvale/common'
import { callJson } from './jsonCall.js'
import type { ClientDirectory } from './clientDirectory.js'
import type { PlatformError } from './errors.js'

const regionSchema = z.object({ region: z.string().refine(isIdentifier).transform(toRegionId).nullable() })
const timeoutMilliseconds = 500

export class HttpClientDirectory implements ClientDirectory {
  constructor (private readonly base: string) {}

  async regionOf (address: string): Promise<Result<Maybe<RegionId>, PlatformError>> {
    const answer = await callJson({
      url: `${this.base}/v1/clients/${encodeURIComponent(address)}`,
      schema: regionSchema,
      timeoutMilliseconds
    })
    return answer.map(({ region }) => Maybe.of(region))
  }
}
