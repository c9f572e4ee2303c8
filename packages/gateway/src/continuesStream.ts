/**
 * Whether a caller takes up a stream of which it has events already.
 */

import { RequestKind } from '@cuminvale/serving'
import { headerValue } from './headerList.js'
import type { AdmittedRequest } from '@cuminvale/serving'

const lastEventHeader = 'last-event-id'

/** An empty id is that of a caller without events. */
export const continuesStream = ({ head, route }: AdmittedRequest): boolean =>
  route.kind === RequestKind.Stream && route.isResumable && (headerValue(head.headers, lastEventHeader) ?? '') !== ''
