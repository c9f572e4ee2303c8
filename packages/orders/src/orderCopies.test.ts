import { describe, expect, it } from 'vitest'
import { OrderFinding } from '@cuminvale/messages'
import { runtimeClock, toFailureDomainId, toIncarnationId, toRegionId, toTeamId, toVmId } from '@cuminvale/common'
import type { OrderMessage, OutboundMessage, PeerIdentity, RecordedAnswer } from '@cuminvale/messages'
import { OrderCopies } from './orderCopies.js'
import { TicketMint, digestTicket, parseTicket } from './ticket.js'
import type { CopyPeer } from './copyHolders.js'
import type { ParsedTicket } from './ticket.js'

const identity = (name: string, failureDomain: string, region = 'veneto'): PeerIdentity => ({
  vm: toVmId(name), incarnation: toIncarnationId(`i-${name}`), region: toRegionId(region), failureDomain: toFailureDomainId(failureDomain)
})
const minter = identity('vm-1', 'fd-1')
const holder = identity('vm-2', 'fd-2')
const asker = identity('vm-3', 'fd-1', 'emilia')
const all = [minter, holder, asker, identity('vm-4', 'fd-1')]

const copiesOf = (self: PeerIdentity): OrderCopies => new OrderCopies({
  clock: runtimeClock,
  self,
  copyCount: 1,
  peers: () => all.filter(({ vm }) => vm !== self.vm).map((peer): CopyPeer => ({ ...peer, reachable: true }))
})

const mint = new TicketMint({ clock: runtimeClock, ...minter })
const newTicket = (): ParsedTicket => parseTicket(mint.mint(toTeamId('binders'))).unwrapOr(undefined as never)
const answer: RecordedAnswer = { status: 200, contentType: 'text/plain', body: Buffer.from('placed') }

const deliver = (outbound: readonly OutboundMessage[], from: PeerIdentity, to: OrderCopies, toVm: PeerIdentity): readonly OutboundMessage[] =>
  outbound.filter((sent) => sent.to === toVm.vm).flatMap(({ message }) => to.receive(from, message as OrderMessage))

describe('OrderCopies', () => {
  it('keeps a copy in another failure domain of the region, where any VM finds it', async () => {
    const [own, held, asking] = [copiesOf(minter), copiesOf(holder), copiesOf(asker)]
    const ticket = newTicket()
    const copied = own.copy(ticket, answer)
    expect(copied.map(({ to }) => to)).toEqual([holder.vm])
    const confirmed = deliver(copied, minter, held, holder)
    expect(confirmed).toEqual([{ to: minter.vm, message: { kind: 'orders.copied', ticketDigest: digestTicket(ticket) } }])
    const { outbound, outcome: found } = asking.recall(ticket)
    deliver(deliver(outbound, asker, held, holder), holder, asking, asker)
    expect(await found).toMatchObject({ finding: OrderFinding.Done, answer })
  })

  it('does not use a late answer about one ticket for another ticket', async () => {
    const asking = copiesOf(asker)
    const [first, second] = [newTicket(), newTicket()]
    const { outcome: found } = asking.recall(second)
    asking.receive(holder, { kind: 'orders.tell', ticketDigest: digestTicket(first), finding: OrderFinding.Done, answer })
    for (const { vm } of all) {
      asking.receive({ ...holder, vm }, { kind: 'orders.tell', ticketDigest: digestTicket(second), finding: OrderFinding.None })
    }
    expect(await found).toEqual({ finding: OrderFinding.None })
  })

  it.each([
    ['an unused ticket', { counters: [], forgottenThrough: 0 }, OrderFinding.NotRun],
    ['a used ticket', { counters: [1, 2, 3, 4, 5, 6, 7, 8], forgottenThrough: 0 }, OrderFinding.None],
    ['a ticket whose record may be gone', { counters: [], forgottenThrough: 8 }, OrderFinding.None]
  ])('reports what is known of %s after its incarnation shut down in order', (_, used, finding) => {
    const held = copiesOf(holder)
    held.receive(minter, { kind: 'orders.close', used })
    expect(held.receive(asker, askFor(newTicket()))).toMatchObject([{ to: asker.vm, message: { finding } }])
  })
})

const askFor = (parsed: ParsedTicket): OrderMessage =>
  ({ kind: 'orders.ask', ticketDigest: digestTicket(parsed), incarnation: parsed.ticket.incarnation, counter: parsed.ticket.counter })
