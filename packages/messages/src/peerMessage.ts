/**
 * All messages that VMs exchange over their links. Each belongs to the
 * mechanism whose name is the prefix of the message's `kind`.
 */

import type { ConfigurationMessage } from './configurationMessages.js'
import type { EntryMessage } from './entryMessages.js'
import type { LimitMessage } from './limitMessages.js'
import type { MembershipMessage } from './membershipMessages.js'
import type { MeteringMessage } from './meteringMessages.js'
import type { OrderMessage } from './orderMessages.js'
import type { RoutingMessage } from './routingMessages.js'
import type { SuspicionMessage } from './suspicionMessages.js'

export type PeerMessage =
  | ConfigurationMessage
  | EntryMessage
  | LimitMessage
  | MembershipMessage
  | MeteringMessage
  | OrderMessage
  | RoutingMessage
  | SuspicionMessage

export const Mechanism = {
  Configuration: 'configuration',
  Entries: 'entries',
  Limits: 'limits',
  Membership: 'membership',
  Metering: 'metering',
  Orders: 'orders',
  Routing: 'routing',
  Suspicion: 'suspicion'
} as const

export type Mechanism = typeof Mechanism[keyof typeof Mechanism]

const mechanismNames: readonly string[] = Object.values(Mechanism)

/** The mechanism that handles a message. */
export const mechanismOf = (message: PeerMessage): Mechanism =>
  message.kind.slice(0, message.kind.indexOf('.')) as Mechanism

/** Checks only the prefix of `kind`; the other fields are not validated. */
export const isPeerMessage = (value: unknown): value is PeerMessage => {
  if (typeof value !== 'object' || value === null) return false
  const kind = (value as { kind?: unknown }).kind
  return typeof kind === 'string' && mechanismNames.includes(kind.slice(0, kind.indexOf('.')))
}
