/**
 * Client library for callers. It asks the fleet which VMs to use and keeps
 * sending to the best one. After an attempt without an answer it moves to the
 * next VM. An order that may have run is repeated only under the same ticket.
 */

import { Agent, request } from 'undici'
import { Result } from 'true-myth'
import { Outcome, headerNames, millisecondsPerSecond } from '@cuminvale/common'
import type { Dispatcher } from 'undici'
import { CallError } from './errors.js'
import type { CallAnswer, CallRequest, ClientOptions, Entry } from './types.js'

interface EntriesAnswer {
  readonly entries: readonly Entry[]
  readonly holdMilliseconds: number
  readonly tickets: readonly string[]
}

interface Attempt {
  readonly address: string
  readonly call: CallRequest
  readonly ticket?: string
}

const defaultTimeoutMilliseconds = 30_000
const maximumAttempts = 4
const longestRetryAfterMilliseconds = 5_000
const retryStatuses: readonly number[] = [429, 502, 503]

const headerOf = (headers: Dispatcher.ResponseData['headers'], name: string): string => {
  const value = headers[name]
  return typeof value === 'string' ? value : ''
}

const delay = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds))

interface AttemptAnswer extends Omit<CallAnswer, 'attempts'> {
  readonly retryAfterMilliseconds: number
  readonly offeredTicket: string
}

export class Client {
  private entries: readonly Entry[] = []
  private entriesExpireAt = 0
  private tickets: string[] = []
  private readonly agent = new Agent()

  constructor (private readonly options: ClientOptions) {}

  async close (): Promise<void> {
    await this.agent.close()
  }

  /**
   * The VM addresses to use, best first. Once the list has expired, the listed
   * VMs and then the seeds are asked for a new one. If none of them sends one,
   * the expired list stays in use, or the seeds if there was no list.
   */
  async addresses (): Promise<readonly string[]> {
    if (performance.now() < this.entriesExpireAt && this.entries.length > 0) return this.entries.map(({ address }) => address)
    for (const address of [...this.entries.map((entry) => entry.address), ...this.options.seeds]) {
      if (await this.refreshFrom(address)) break
    }
    return this.entries.length > 0 ? this.entries.map(({ address }) => address) : this.options.seeds
  }

  /**
   * Sends an idempotent request. It is repeated after an attempt without an
   * answer and after a status of `retryStatuses`.
   */
  async call (call: CallRequest): Promise<Result<CallAnswer, CallError>> {
    let lastError = new CallError(Outcome.NotRun, 'no VM could be reached')
    for (let attempts = 1; attempts <= maximumAttempts; attempts += 1) {
      const address = (await this.addresses())[0] ?? ''
      const answer = await this.attempt({ address, call })
      if (answer.isOk && !retryStatuses.includes(answer.value.status)) return Result.ok({ ...answer.value, attempts })
      if (answer.isOk && attempts === maximumAttempts) return Result.ok({ ...answer.value, attempts })
      if (answer.isErr) {
        lastError = answer.error
        this.demote(address)
      } else {
        await delay(Math.min(answer.value.retryAfterMilliseconds, longestRetryAfterMilliseconds))
      }
    }
    return Result.err(lastError)
  }

  /**
   * Sends a non-idempotent request. Once an attempt may have reached a VM, the
   * order is repeated only under the same ticket, so that it runs at most once.
   */
  async order (call: CallRequest): Promise<Result<CallAnswer, CallError>> {
    let lastError = new CallError(Outcome.NotRun, 'no VM issued a ticket')
    for (let attempts = 1; attempts <= maximumAttempts; attempts += 1) {
      const addresses = await this.addresses()
      const ticket = this.takeTicket()
      if (ticket === undefined) continue
      const address = addresses[0] ?? ''
      const answer = await this.attempt({ address, call, ticket })
      if (answer.isErr && answer.error.outcome === Outcome.NotRun) {
        lastError = answer.error
        this.demote(address)
        continue
      }
      if (isFinal(answer)) return answer.map((value) => ({ ...value, attempts }))
      return await this.repeatOrder({ address: addresses[1] ?? address, call, ticket }, attempts)
    }
    return Result.err(lastError)
  }

  private async repeatOrder (first: Attempt, attemptsBefore: number): Promise<Result<CallAnswer, CallError>> {
    const addresses = await this.addresses()
    let answer = await this.attempt(first)
    let attempts = attemptsBefore + 1
    while (!isFinal(answer) && attempts < maximumAttempts) {
      attempts += 1
      answer = await this.attempt({ ...first, address: addresses[attempts % addresses.length] ?? first.address })
    }
    return answer.map((value) => ({ ...value, attempts }))
  }

  private takeTicket (): string | undefined {
    const ticket = this.tickets.shift()
    if (this.tickets.length === 0) this.entriesExpireAt = 0
    return ticket
  }

  private demote (address: string): void {
    const demoted = this.entries.filter((entry) => entry.address === address)
    this.entries = [...this.entries.filter((entry) => entry.address !== address), ...demoted]
    // If the VM that issued a ticket is gone, an order under that ticket ends with an unknown outcome.
    this.tickets = []
    this.entriesExpireAt = 0
  }

  private async refreshFrom (address: string): Promise<boolean> {
    const answer = await this.attempt({ address, call: { path: '/v1/entries', method: 'GET' } })
    if (answer.isErr || answer.value.status !== 200) return false
    const parsed = JSON.parse(answer.value.body) as EntriesAnswer
    if (parsed.entries.length === 0) return false
    this.entries = parsed.entries
    this.tickets.push(...parsed.tickets)
    this.entriesExpireAt = performance.now() + parsed.holdMilliseconds
    return true
  }

  private async attempt ({ address, call, ticket }: Attempt): Promise<Result<AttemptAnswer, CallError>> {
    try {
      const response = await request(address + call.path, {
        dispatcher: this.agent,
        method: (call.method ?? 'POST') as Dispatcher.HttpMethod,
        signal: AbortSignal.timeout(this.options.timeoutMilliseconds ?? defaultTimeoutMilliseconds),
        headers: {
          authorization: `Bearer ${this.options.key}`,
          ...(call.body === undefined ? {} : { 'content-type': 'application/json' }),
          ...(call.route === undefined ? {} : { 'cuminvale-route': call.route }),
          ...(ticket === undefined ? {} : { [headerNames.ticket]: ticket })
        },
        body: call.body === undefined ? null : JSON.stringify(call.body)
      })
      const body = await response.body.text()
      const outcome = headerOf(response.headers, headerNames.outcome) || Outcome.Unknown
      return Result.ok({
        status: response.statusCode,
        outcome: outcome as Outcome,
        vm: headerOf(response.headers, headerNames.vm),
        requestId: headerOf(response.headers, headerNames.requestId),
        upstream: headerOf(response.headers, headerNames.upstream),
        offeredTicket: headerOf(response.headers, headerNames.ticket),
        retryAfterMilliseconds: Number(headerOf(response.headers, 'retry-after') || 1) * millisecondsPerSecond,
        body
      })
    } catch (error) {
      return Result.err(callErrorOf(error))
    }
  }
}

const neverConnectedCodes: readonly string[] = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']

/** A call whose connection was never established cannot have run. */
const callErrorOf = (error: unknown): CallError => {
  const { code, message } = error as { code?: string, message?: string }
  const outcome = neverConnectedCodes.includes(code ?? '') ? Outcome.NotRun : Outcome.Unknown
  return new CallError(outcome, message ?? String(error))
}

const isFinal = (answer: Result<AttemptAnswer, CallError>): boolean =>
  answer.isOk && answer.value.outcome !== Outcome.Unknown
