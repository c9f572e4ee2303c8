/**
 * The interface of mechanisms that exchange messages with peers. They take
 * messages and timer ticks, return messages to send, and use no sockets, so
 * that actors and simulations can both drive them.
 */

import type { VmId } from '@cuminvale/common'
import type { PeerIdentity } from './peerIdentity.js'
import type { PeerMessage } from './peerMessage.js'

export interface OutboundMessage {
  readonly to: VmId
  readonly message: PeerMessage
}

export interface PeerProtocol<Message extends PeerMessage> {
  /** Handles a message from an authenticated peer and returns the messages to send. */
  receive (from: PeerIdentity, message: Message): readonly OutboundMessage[]
  /** Does periodic work and returns the messages to send; called about every `tickMilliseconds`. */
  tick (): readonly OutboundMessage[]
  readonly tickMilliseconds: number
}
