/**
 * HTTP client for the VM list.
 */

import { z } from 'zod'
import { VmState, isIdentifier, toFailureDomainId, toRegionId, toVmId } from '@cuminvale/common'
import type { Result } from 'true-myth'
import type { ListedVm } from '@cuminvale/common'
import { callJson } from './jsonCall.js'
import type { PlatformError } from './errors.js'
import type { VmList } from './vmList.js'

const portSchema = z.number().int().min(1).max(65_535)
const identifierSchema = z.string().refine(isIdentifier)
const vmSchema = z.object({
  name: identifierSchema.transform(toVmId),
  region: identifierSchema.transform(toRegionId),
  failureDomain: identifierSchema.transform(toFailureDomainId),
  host: z.string().min(1),
  callerPort: portSchema,
  peerPort: portSchema,
  administrationPort: portSchema,
  state: z.enum([VmState.Live, VmState.Leaving])
})
const listSchema = z.object({ vms: z.array(vmSchema) })
const timeoutMilliseconds = 2_000

export class HttpVmList implements VmList {
  constructor (private readonly base: string) {}

  async list (): Promise<Result<readonly ListedVm[], PlatformError>> {
    const answer = await callJson({ url: `${this.base}/v1/vms`, schema: listSchema, timeoutMilliseconds })
    return answer.map(({ vms }) => vms)
  }
}
