/**
 * Tickets that were refused permanently, one bit each. Sealing never fails for
 * lack of memory, so a refusal can always be made final before it is sent.
 */

import type { Clock } from '@cuminvale/common'
import { sealedBlockTicketCount } from './constants.js'
import type { Ticket } from './ticket.js'

interface Block {
  readonly bits: Uint8Array
  /** Monotonic time at which the last sealed ticket of the block expires. */
  expiresAt: number
}

const bitsPerByte = 8

export class SealedTickets {
  private readonly blocks = new Map<number, Block>()

  constructor (private readonly clock: Clock) {}

  get stateBytes (): number {
    return this.blocks.size * sealedBlockTicketCount / bitsPerByte
  }

  seal (ticket: Ticket): void {
    const block = this.findOrAddBlock(ticket.counter)
    const { byte, mask } = bitPosition(ticket.counter)
    block.bits[byte] = (block.bits[byte] ?? 0) | mask
    block.expiresAt = Math.max(block.expiresAt, ticket.expiresAt)
  }

  isSealed (ticket: Ticket): boolean {
    const block = this.blocks.get(blockNumber(ticket.counter))
    const { byte, mask } = bitPosition(ticket.counter)
    return ((block?.bits[byte] ?? 0) & mask) !== 0
  }

  /** Removes blocks in which every sealed ticket has expired. */
  removeExpired (): void {
    const now = this.clock.monotonic()
    for (const [number, block] of this.blocks) {
      if (block.expiresAt <= now) this.blocks.delete(number)
    }
  }

  private findOrAddBlock (counter: number): Block {
    const number = blockNumber(counter)
    const existing = this.blocks.get(number)
    if (existing !== undefined) return existing
    const block: Block = { bits: new Uint8Array(sealedBlockTicketCount / bitsPerByte), expiresAt: 0 }
    this.blocks.set(number, block)
    return block
  }
}

const blockNumber = (counter: number): number => Math.floor(counter / sealedBlockTicketCount)

const bitPosition = (counter: number): { readonly byte: number, readonly mask: number } => {
  const offset = counter % sealedBlockTicketCount
  return { byte: Math.floor(offset / bitsPerByte), mask: 1 << (offset % bitsPerByte) }
}
