/**
 * Stand-in for a model engine: OpenAI-style completions, one token an event,
 * with load reports, cache events and orders under fencing numbers.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { CacheEvent, EngineOrder, EngineState } from '@cuminvale/platform'
import { HttpFake, pathOf, readText, sendJson } from './httpFake.js'

export interface FakeEngineOptions {
  readonly firstTokenMilliseconds: number
  readonly tokenMilliseconds: number
  readonly checksFencing: boolean
  readonly state: EngineState
}

interface CompletionBody {
  readonly model?: string
  readonly stream?: boolean
  readonly max_tokens?: number
  readonly prompt?: string
  readonly messages?: ReadonlyArray<{ readonly content?: string }>
}

const defaultOutputTokens = 16
const conflictStatus = 409

const delay = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds))

export class FakeEngine {
  readonly server = new HttpFake((request, response) => this.handle(request, response))
  readonly headersSeen: IncomingMessage['headers'][] = []
  readonly events: CacheEvent[] = []
  completed = 0
  cancelled = 0
  leaving = false
  /** Breaks each stream after this many tokens. */
  breakAfterTokens: number | undefined
  /** Bodies holding this text break the connection, as a crash would. */
  crashText: string | undefined
  private state: EngineState
  private running = 0

  constructor (private readonly options: FakeEngineOptions) {
    this.state = options.state
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { pathname, searchParams } = pathOf(request)
    if (pathname === '/control/load') {
      return sendJson(response, 200, { running: this.running, queued: 0, ageMilliseconds: 0, leaving: this.leaving })
    }
    if (pathname === '/control/state') return sendJson(response, 200, this.state)
    if (pathname === '/control/cache-events') return this.sendEvents(response, Number(searchParams.get('after')))
    if (pathname === '/control/orders') return this.takeOrder(response, JSON.parse(await readText(request)) as EngineOrder)
    if (pathname.startsWith('/control/cancel/')) return sendJson(response, 200, { done: true })
    await this.complete(request, response)
  }

  private sendEvents (response: ServerResponse, after: number): void {
    sendJson(response, 200, { events: this.events.filter((event) => event.sequence > after) })
  }

  private takeOrder (response: ServerResponse, order: EngineOrder): void {
    if (this.options.checksFencing && order.fence < this.state.fence) {
      return sendJson(response, conflictStatus, { error: 'old fencing number' })
    }
    this.state = { loaded: order.wanted, version: order.version, role: order.role, fence: Math.max(order.fence, this.state.fence) }
    sendJson(response, 200, this.state)
  }

  private async complete (request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.headersSeen.push(request.headers)
    const text = await readText(request)
    if (this.crashText !== undefined && text.includes(this.crashText)) {
      response.destroy()
      return
    }
    const body = JSON.parse(text) as CompletionBody
    const isChat = pathOf(request).pathname.includes('/chat/')
    this.running += 1
    response.on('close', () => { if (!response.writableFinished) this.cancelled += 1 })
    await delay(this.options.firstTokenMilliseconds)
    if (body.stream === true) await this.stream(response, body, isChat)
    else await this.answer(response, body, isChat)
    this.running -= 1
  }

  private async answer (response: ServerResponse, body: CompletionBody, isChat: boolean): Promise<void> {
    const tokens = body.max_tokens ?? defaultOutputTokens
    await delay(tokens * this.options.tokenMilliseconds)
    const text = Array.from({ length: tokens }, (_, index) => `w${index} `).join('')
    this.completed += 1
    sendJson(response, 200, {
      object: isChat ? 'chat.completion' : 'text_completion',
      model: body.model,
      choices: [isChat ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' } : { index: 0, text, finish_reason: 'stop' }],
      usage: this.usage(body, tokens)
    })
  }

  private async stream (response: ServerResponse, body: CompletionBody, isChat: boolean): Promise<void> {
    const tokens = body.max_tokens ?? defaultOutputTokens
    response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
    for (let index = 0; index < tokens; index += 1) {
      if (response.destroyed) return
      if (index === this.breakAfterTokens) {
        response.destroy()
        return
      }
      const piece = `w${index} `
      const choice = isChat ? { index: 0, delta: { content: piece } } : { index: 0, text: piece }
      response.write(`data: ${JSON.stringify({ model: body.model, choices: [choice] })}\n\n`)
      if (this.options.tokenMilliseconds > 0) await delay(this.options.tokenMilliseconds)
    }
    response.write(`data: ${JSON.stringify({ choices: [], usage: this.usage(body, tokens) })}\n\n`)
    response.end('data: [DONE]\n\n')
    this.completed += 1
  }

  private usage (body: CompletionBody, completionTokens: number) {
    const prompt = body.prompt ?? body.messages?.map((message) => message.content ?? '').join(' ') ?? ''
    const promptTokens = Math.ceil(prompt.length / 4)
    return { prompt_tokens: promptTokens, completion_tokens: completionTokens, total_tokens: promptTokens + completionTokens }
  }
}
