/**
 * Load for a chaos run: clients of every team continuously send requests of
 * each kind, and record the response to each.
 */

import { Outcome } from '@cuminvale/common'
import { Client } from '@cuminvale/caller'
import type { DemoFleet } from './demoFleet.js'

export const RequestKind = { Stream: 'stream', Whole: 'whole', Order: 'order', Status: 'status' } as const
export type RequestKind = typeof RequestKind[keyof typeof RequestKind]

export interface SentRequest {
  readonly kind: RequestKind
  readonly id: string
  readonly team: number
  readonly outcome: Outcome
  readonly status: number
  /** Whether the response was complete and belongs to this request; true for every response but a success. */
  readonly isExpected: boolean
  readonly milliseconds: number
}

const kinds = Object.values(RequestKind)
const pauseMilliseconds = 20
const timeoutMilliseconds = 12_000
const streamTokens = 20
const wholeTokens = 5

interface Answer {
  readonly outcome: Outcome
  readonly status: number
  readonly body: string
}

export class ChaosLoad {
  readonly sent: SentRequest[] = []
  private stopped = false
  private counter = 0
  private readonly clients: readonly Client[]

  constructor (private readonly fleet: DemoFleet) {
    this.clients = fleet.platform.keys.map(({ key }) => new Client({ seeds: fleet.callerAddresses(), key, timeoutMilliseconds }))
  }

  /** Sends requests until stopped; resolves when the last one has ended. */
  async run (clientsPerTeam: number): Promise<void> {
    const loops = this.clients.flatMap((client, team) =>
      Array.from({ length: clientsPerTeam }, async () => await this.sendUntilStopped(client, team)))
    await Promise.all(loops)
    await Promise.all(this.clients.map(async (client) => await client.close()))
  }

  stop (): void {
    this.stopped = true
  }

  private async sendUntilStopped (client: Client, team: number): Promise<void> {
    while (!this.stopped) {
      this.counter += 1
      const kind = kinds[this.counter % kinds.length] ?? RequestKind.Status
      await this.sendOne(client, { kind, team, id: `chaos-${team}-${this.counter}.` })
      await new Promise((resolve) => setTimeout(resolve, pauseMilliseconds))
    }
  }

  private async sendOne (client: Client, request: Pick<SentRequest, 'kind' | 'team' | 'id'>): Promise<void> {
    const startedAt = performance.now()
    const { outcome, status, body } = await this.ask(client, request.kind, request.id)
    const isExpected = outcome !== Outcome.Done || status !== 200 || this.isExpected(request.kind, request.id, body)
    this.sent.push({ ...request, outcome, status, isExpected, milliseconds: performance.now() - startedAt })
  }

  private async ask (client: Client, kind: RequestKind, id: string): Promise<Answer> {
    const { routes, model } = this.fleet.options.deployment
    const answer = kind === RequestKind.Order
      ? await client.order({ path: `/v1/services/${routes.order}/${id}`, body: { id } })
      : kind === RequestKind.Status
        ? await client.call({ path: `/v1/services/${routes.status}/${id}`, method: 'GET' })
        : await client.call({
          path: '/v1/completions',
          route: kind === RequestKind.Stream ? routes.streamed : routes.counter,
          body: { model, prompt: id, stream: kind === RequestKind.Stream, max_tokens: kind === RequestKind.Stream ? streamTokens : wholeTokens }
        })
    if (answer.isErr) return { outcome: answer.error.outcome, status: 0, body: '' }
    return answer.value
  }

  private isExpected (kind: RequestKind, id: string, body: string): boolean {
    if (kind === RequestKind.Order || kind === RequestKind.Status) return body.includes(id)
    const words = [...body.matchAll(/w(\d+) /g)].map((match) => Number(match[1]))
    const expected = kind === RequestKind.Stream ? streamTokens : wholeTokens
    const isComplete = words.length === expected && words.every((word, index) => word === index)
    return isComplete && (kind === RequestKind.Whole || body.trimEnd().endsWith('data: [DONE]'))
  }
}
