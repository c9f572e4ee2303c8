/**
 * Replicates order outcomes to other VMs. The request path copies and recalls outcomes through this class;
 * the `orders` actor passes peer messages and ticks to `copies`.
 */

import { copyCount, OrderCopies } from '@cuminvale/orders'
import type { Clock } from '@cuminvale/common'
import type { Membership } from '@cuminvale/membership'
import type { OutboundMessage, PeerIdentity, RecordedAnswer, UsedTickets } from '@cuminvale/messages'
import type { CopyPeer, FoundOutcome, ParsedTicket } from '@cuminvale/orders'

export interface OrderReplicationOptions {
  readonly clock: Clock
  readonly identity: PeerIdentity
  readonly membership: Membership
}

const handOverTimeoutMilliseconds = 2_000

const copyPeers = (membership: Membership): readonly CopyPeer[] =>
  membership.linkTargets.map(({ vm, reachable }) => ({
    vm: vm.name, region: vm.region, failureDomain: vm.failureDomain, reachable
  }))

export class OrderReplication {
  readonly copies: OrderCopies
  private send: (outbound: readonly OutboundMessage[]) => void = () => {}

  constructor ({ clock, identity, membership }: OrderReplicationOptions) {
    this.copies = new OrderCopies({ clock, self: identity, peers: () => copyPeers(membership), copyCount })
  }

  /** Sets the function that sends messages to peers, once the links exist. */
  setSender (send: (outbound: readonly OutboundMessage[]) => void): void {
    this.send = send
  }

  copyResult (ticket: ParsedTicket, answer: RecordedAnswer): void {
    this.send(this.copies.copy(ticket, answer))
  }

  async recall (ticket: ParsedTicket): Promise<FoundOutcome> {
    const { outbound, outcome: found } = this.copies.recall(ticket)
    this.send(outbound)
    return await found
  }

  /** Sends the record of used tickets to other VMs, and waits up to `handOverTimeoutMilliseconds` until it is stored there. */
  async handOverUsedTickets (used: UsedTickets): Promise<void> {
    const { outbound, held } = this.copies.close(used)
    this.send(outbound)
    const timeout = new Promise<void>((resolve) => setTimeout(resolve, handOverTimeoutMilliseconds).unref())
    await Promise.race([held, timeout])
  }
}
