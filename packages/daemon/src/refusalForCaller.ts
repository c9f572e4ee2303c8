/**
 * Refusals of requests that carry a ticket and are refused before they are completely read.
 * An earlier attempt under the ticket may have run, so "not run" may be claimed only if that is known.
 */

import { headerNames } from '@cuminvale/common'
import { checkKey } from '@cuminvale/keys'
import type { IncomingMessage } from 'node:http'
import type { Refusal } from '@cuminvale/common'
import type { VmContext } from './vmContext.js'

export const refusalForCaller = (context: VmContext, incoming: IncomingMessage, refusal: Refusal): Refusal => {
  const ticketText = incoming.headers[headerNames.ticket]
  if (typeof ticketText !== 'string') return refusal
  const configuration = context.configuration.current
  const identity = configuration === undefined ? undefined : checkKey(incoming.headers.authorization, configuration)
  const team = identity?.isOk === true ? identity.value.team : undefined
  return context.orderPolicy.refusalBeforeDecision(ticketText, team, refusal)
}
