/**
 * An actor that drives one peer protocol: it passes peer messages and ticks to the protocol, and sends
 * the resulting messages over the links.
 */

import { dispatch, spawnStateless } from 'nact'
import type { Ref } from 'nact'
import type { OutboundMessage, PeerIdentity, PeerMessage, PeerProtocol } from '@cuminvale/messages'
import type { Log } from '@cuminvale/logs'

export type ProtocolActorMessage =
  | { readonly type: 'tick' }
  | { readonly type: 'peer', readonly from: PeerIdentity, readonly message: PeerMessage }

export type ProtocolActor = Ref<ProtocolActorMessage>

export interface ProtocolActorOptions<Message extends PeerMessage> {
  readonly name: string
  readonly protocol: PeerProtocol<Message>
  readonly send: (outbound: readonly OutboundMessage[]) => void
  readonly log: Log
}

/** If handling a message throws, the error is logged and the message dropped; the protocol keeps its state. */
export const spawnProtocolActor = <Message extends PeerMessage>(
  parent: Ref<never>,
  { name, protocol, send, log }: ProtocolActorOptions<Message>
): ProtocolActor => {
  const handle = (message: ProtocolActorMessage): void => {
    try {
      send(message.type === 'tick' ? protocol.tick() : protocol.receive(message.from, message.message as Message))
    } catch (error) {
      log.error('protocol-failed', { protocol: name, detail: error instanceof Error ? error.stack : String(error) })
    }
  }
  const actor = spawnStateless(parent, handle, name) as ProtocolActor
  setInterval(() => dispatch(actor, { type: 'tick' }), protocol.tickMilliseconds).unref()
  return actor
}
