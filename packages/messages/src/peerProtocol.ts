/**
 * The shape of every mechanism that talks to peers: messages and ticks in,
 * messages out, and no sockets. Actors and simulations drive it alike.
 */

import type { VmId } from '@cuminvale/common'
import type { PeerIdentity } from './peerIdentity.js'
import type { PeerMessage } from './peerMessage.js'

export interface Outbound {
  readonly to: VmId
  readonly message: PeerMessage
}

export interface PeerProtocol<Message extends PeerMessage> {
  /** Handles a message from an authenticated peer. */
  receive (from: PeerIdentity, message: Message): readonly Outbound[]
  /** Does timed work; called about every `tickMilliseconds`. */
  tick (): readonly Outbound[]
  readonly tickMilliseconds: number
}
