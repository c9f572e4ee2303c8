/**
 * What a refusal may claim to a caller that presented a ticket, where the
 * request was refused while it was still being read.
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
  return context.orderGate.refusalBeforeDecision(ticketText, team, refusal)
}
