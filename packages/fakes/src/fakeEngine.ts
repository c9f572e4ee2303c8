/**
 * Fake model engine over HTTP: OpenAI-style completions, streamed as one event
 * per token, and the control interface of `FakeModelEngine`. A broken stream is
 * resumed by its request id and the number of events already received.
 */

import { PriorityClass, headerNames, toRequestId } from '@cuminvale/common'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Result } from 'true-myth'
import type { RequestId } from '@cuminvale/common'
import type { EngineOrder, EngineState, PlatformError } from '@cuminvale/services'
import { FakeModelEngine } from './fakeModelEngine.js'
import { LoopbackHttpServer, urlOf, readBytes, readText, sendJson } from './loopbackHttpServer.js'
import type { FakeModelEngineOptions } from './fakeModelEngine.js'

export interface FakeEngineOptions extends FakeModelEngineOptions {
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

interface Generation {
  readonly id: RequestId
  readonly body: CompletionBody
  readonly isChat: boolean
  readonly resumeFrom: number
  readonly priority: PriorityClass
}

export const resumeHeaderName = 'cuminvale-resume-from'
export const priorityHeaderName = 'cuminvale-priority'

const defaultOutputTokens = 16
const charactersPerToken = 4
const notFoundStatus = 404
const conflictStatus = 409

const delay = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds))

const headerOf = (request: IncomingMessage, name: string): string => String(request.headers[name] ?? '')

const promptOf = (body: CompletionBody): string =>
  body.prompt ?? body.messages?.map((message) => message.content ?? '').join('\n') ?? ''

export class FakeEngine {
  readonly server = new LoopbackHttpServer((request, response) => this.handle(request, response))
  readonly engine: FakeModelEngine
  /** Headers of each request other than control calls, in order of arrival. */
  readonly headersSeen: IncomingMessage['headers'][] = []
  completed = 0
  /** Completions whose connection closed before the answer was complete, whichever side closed it. */
  cancelled = 0
  resumed = 0
  /** Closes the connection of a stream after this many events, unless the stream is a resumed one. */
  breakAfterTokens: number | undefined
  /** A request whose body contains this text has its connection closed without an answer, as in a crash. */
  crashText: string | undefined
  private readonly started = new Set<RequestId>()

  constructor (private readonly options: FakeEngineOptions) {
    this.engine = new FakeModelEngine(options)
  }

  get leaving (): boolean {
    return this.engine.leaving
  }

  set leaving (leaving: boolean) {
    this.engine.leaving = leaving
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { pathname } = urlOf(request)
    if (pathname.startsWith('/control/')) return await this.control(request, response)
    await this.complete(request, response)
  }

  private async control (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { pathname, searchParams } = urlOf(request)
    if (pathname === '/control/load') return answerControl(response, await this.engine.load())
    if (pathname === '/control/state') return answerControl(response, await this.engine.state())
    if (pathname === '/control/cache-events') {
      const events = await this.engine.cacheEvents(Number(searchParams.get('after')))
      return answerControl(response, events.map((list) => ({ events: list })))
    }
    if (pathname === '/control/orders') {
      return answerControl(response, await this.engine.order(JSON.parse(await readText(request)) as EngineOrder))
    }
    const [, , operation, id] = pathname.split('/').map(decodeURIComponent)
    if (operation === 'cancel') {
      const cancelled = await this.engine.cancel(toRequestId(id ?? ''))
      return answerControl(response, cancelled.map((done) => ({ done })))
    }
    if (operation === 'cache') return await this.transferCache(request, response, id ?? '')
    sendJson(response, notFoundStatus, { error: 'no such path' })
  }

  private async transferCache (request: IncomingMessage, response: ServerResponse, prefix: string): Promise<void> {
    if (request.method === 'PUT') {
      return answerControl(response, await this.engine.importCache(prefix, await readBytes(request)))
    }
    const content = await this.engine.exportCache(prefix)
    if (content.isErr) return answerControl(response, content)
    response.writeHead(200, { 'content-type': 'application/octet-stream' })
    response.end(content.value)
  }

  private async complete (request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.headersSeen.push(request.headers)
    const text = await readText(request)
    if (this.crashText !== undefined && text.includes(this.crashText)) {
      response.destroy()
      return
    }
    const generation: Generation = {
      id: toRequestId(headerOf(request, headerNames.requestId)),
      body: JSON.parse(text) as CompletionBody,
      isChat: urlOf(request).pathname.includes('/chat/'),
      resumeFrom: Number(headerOf(request, resumeHeaderName)) || 0,
      priority: headerOf(request, priorityHeaderName) === PriorityClass.Batch ? PriorityClass.Batch : PriorityClass.Interactive
    }
    if (generation.resumeFrom > 0 && !this.started.has(generation.id)) {
      return sendJson(response, conflictStatus, { error: 'no such stream to resume' })
    }
    await this.run(generation, response)
  }

  private async run (generation: Generation, response: ServerResponse): Promise<void> {
    const { engine } = this
    response.on('close', () => { if (!response.writableFinished) this.cancelled += 1 })
    await engine.slots.acquire(generation.priority)
    engine.registerRequest(generation.id, () => response.destroy())
    engine.recordLoad()
    this.started.add(generation.id)
    try {
      if (this.options.firstTokenMilliseconds > 0) await delay(this.options.firstTokenMilliseconds)
      if (generation.body.stream === true) await this.stream(generation, response)
      else await this.answer(generation, response)
      engine.cachePrompt(promptOf(generation.body))
    } finally {
      engine.unregisterRequest(generation.id)
      engine.slots.release()
      engine.recordLoad()
    }
  }

  private async answer ({ body, isChat }: Generation, response: ServerResponse): Promise<void> {
    const tokens = body.max_tokens ?? defaultOutputTokens
    await delay(tokens * this.options.tokenMilliseconds)
    if (response.destroyed) return
    const text = Array.from({ length: tokens }, (_, index) => `w${index} `).join('')
    this.completed += 1
    sendJson(response, 200, {
      object: isChat ? 'chat.completion' : 'text_completion',
      model: body.model,
      choices: [isChat ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' } : { index: 0, text, finish_reason: 'stop' }],
      usage: usageOf(body, tokens)
    })
  }

  private async stream (generation: Generation, response: ServerResponse): Promise<void> {
    const { resumeFrom } = generation
    const events = streamEvents(generation)
    const breakIndex = resumeFrom > 0 ? undefined : this.breakAfterTokens
    if (resumeFrom > 0) this.resumed += 1
    response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
    for (const [index, event] of events.entries()) {
      if (index < resumeFrom) continue
      if (index === breakIndex) response.destroy()
      if (response.destroyed) return
      response.write(`data: ${event}\n\n`)
      if (this.options.tokenMilliseconds > 0) await delay(this.options.tokenMilliseconds)
    }
    response.end('data: [DONE]\n\n')
    this.completed += 1
  }
}

/** One event per token, then one with the usage. The `[DONE]` event is not included. */
const streamEvents = ({ body, isChat }: Generation): readonly string[] => {
  const tokens = body.max_tokens ?? defaultOutputTokens
  const tokenEvents = Array.from({ length: tokens }, (_, index) => {
    const tokenText = `w${index} `
    const choice = isChat ? { index: 0, delta: { content: tokenText } } : { index: 0, text: tokenText }
    return JSON.stringify({ model: body.model, choices: [choice] })
  })
  return [...tokenEvents, JSON.stringify({ choices: [], usage: usageOf(body, tokens) })]
}

const usageOf = (body: CompletionBody, completionTokens: number) => {
  const promptTokens = Math.ceil(promptOf(body).length / charactersPerToken)
  return { prompt_tokens: promptTokens, completion_tokens: completionTokens, total_tokens: promptTokens + completionTokens }
}

const answerControl = (response: ServerResponse, result: Result<unknown, PlatformError>): void => {
  if (result.isOk) return sendJson(response, 200, result.value)
  sendJson(response, conflictStatus, { error: result.error.message })
}
