/**
 * Tickets for non-idempotent requests. A ticket names the team and the one
 * incarnation that may send its order upstream. Minting stores nothing: the
 * ticket is authenticated by an HMAC whose secret exists only in the
 * incarnation's memory.
 */

import { createHash, createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import { Maybe } from 'true-myth'
import { toIncarnationId, toTeamId, toVmId } from '@cuminvale/common'
import type { Clock, IncarnationId, TeamId, VmId } from '@cuminvale/common'
import { ticketLifetimeMilliseconds, ticketSecretBytes } from './constants.js'

export interface Ticket {
  readonly team: TeamId
  readonly vm: VmId
  readonly incarnation: IncarnationId
  readonly counter: number
  /** Monotonic time of the minting incarnation, the only one that checks the expiry. */
  readonly expiresAt: number
}

export interface ParsedTicket {
  readonly ticket: Ticket
  readonly payload: string
  readonly signature: string
}

const fieldSeparator = '~'
const ticketPattern = /^[\x21-\x7e]{1,512}$/

/** Reads a ticket's fields, which any VM can do. Only the minting incarnation can verify the signature. */
export const parseTicket = (text: string): Maybe<ParsedTicket> => {
  if (!ticketPattern.test(text)) return Maybe.nothing()
  const [encoded, signature, ...rest] = text.split('.')
  if (encoded === undefined || signature === undefined || rest.length > 0) return Maybe.nothing()
  const fields = Buffer.from(encoded, 'base64url').toString().split(fieldSeparator)
  const [team, vm, incarnation, counter, expiresAt] = fields
  if (team === undefined || vm === undefined || incarnation === undefined || fields.length !== 5) return Maybe.nothing()
  const numbers = { counter: Number(counter), expiresAt: Number(expiresAt) }
  if (!Number.isSafeInteger(numbers.counter) || !Number.isSafeInteger(numbers.expiresAt)) return Maybe.nothing()
  return Maybe.just({
    ticket: { team: toTeamId(team), vm: toVmId(vm), incarnation: toIncarnationId(incarnation), ...numbers },
    payload: encoded,
    signature
  })
}

/** Identifies a ticket to holders of copies. Only a VM that has seen the ticket can compute the digest. */
export const digestTicket = ({ payload, signature }: ParsedTicket): string =>
  createHash('sha256').update(`${payload}.${signature}`).digest('base64url')

export interface TicketMintOptions {
  readonly clock: Clock
  readonly vm: VmId
  readonly incarnation: IncarnationId
  readonly lifetimeMilliseconds?: number
}

/** Mints and verifies the tickets of one incarnation. */
export class TicketMint {
  private readonly secret = randomBytes(ticketSecretBytes)
  private counter = 0

  constructor (private readonly options: TicketMintOptions) {}

  mint (team: TeamId): string {
    this.counter += 1
    const { vm, incarnation, clock, lifetimeMilliseconds = ticketLifetimeMilliseconds } = this.options
    const expiresAt = Math.floor(clock.monotonic()) + lifetimeMilliseconds
    const payload = Buffer.from([team, vm, incarnation, this.counter, expiresAt].join(fieldSeparator)).toString('base64url')
    return `${payload}.${this.sign(payload).toString('base64url')}`
  }

  isOwn (ticket: Ticket): boolean {
    return ticket.vm === this.options.vm && ticket.incarnation === this.options.incarnation
  }

  hasValidSignature (parsed: ParsedTicket): boolean {
    const given = Buffer.from(parsed.signature, 'base64url')
    const expected = this.sign(parsed.payload)
    return given.length === expected.length && timingSafeEqual(given, expected)
  }

  private sign (payload: string): Buffer {
    return createHmac('sha256', this.secret).update(payload).digest()
  }
}
