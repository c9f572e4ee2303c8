/**
 * Stand-in for the configuration service: values with revisions, reads and
 * waiting watches, a count of calls, and outages on demand.
 */

import { documentNames } from '@cuminvale/documents'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { DocumentName, DocumentTexts } from '@cuminvale/documents'
import { HttpFake, pathOf, sendJson } from './httpFake.js'

interface StoredValue {
  readonly revision: number
  readonly value: string
}

interface Watcher {
  readonly after: number
  readonly answer: () => void
}

const longestValueBytes = 1_048_576

export class FakeConfigurationService {
  readonly server = new HttpFake((request, response) => this.handle(request, response))
  calls = 0
  private down = false
  private storeRevision = 0
  private readonly values = new Map<DocumentName, StoredValue>()
  private watchers: Watcher[] = []

  constructor (texts: DocumentTexts) {
    this.publish(texts)
  }

  get revision (): number {
    return this.storeRevision
  }

  /** Publishes documents under one new revision; those left out stay. */
  publish (texts: Partial<DocumentTexts>): number {
    this.storeRevision += 1
    for (const name of documentNames) {
      const value = texts[name]
      if (value === undefined) continue
      if (Buffer.byteLength(value) > longestValueBytes) throw new Error(`value of ${name} is over a megabyte`)
      this.values.set(name, { revision: this.storeRevision, value })
    }
    this.answerWatchers()
    return this.storeRevision
  }

  text (name: DocumentName): string {
    return this.values.get(name)?.value ?? ''
  }

  /** While down, every call fails and waiting watches break off. */
  setDown (down: boolean): void {
    this.down = down
    if (down) this.answerWatchers()
  }

  private handle (request: IncomingMessage, response: ServerResponse): void {
    this.calls += 1
    if (this.down) return sendJson(response, 503, { error: 'down' })
    const url = pathOf(request)
    if (url.pathname === '/v1/watch') return this.watch(url, response)
    const value = this.values.get(url.pathname.replace('/v1/values/', '') as DocumentName)
    if (value === undefined) return sendJson(response, 404, { error: 'no such value' })
    sendJson(response, 200, { storeRevision: this.storeRevision, ...value })
  }

  private watch (url: URL, response: ServerResponse): void {
    const after = Number(url.searchParams.get('after'))
    const answer = (): void => {
      clearTimeout(timer)
      if (response.writableEnded) return
      sendJson(response, this.down ? 503 : 200, { storeRevision: this.storeRevision })
    }
    const timer = setTimeout(() => this.finish(answer), Number(url.searchParams.get('timeoutMilliseconds')))
    if (this.storeRevision > after) return answer()
    this.watchers.push({ after, answer })
    response.on('close', () => clearTimeout(timer))
  }

  private finish (answer: () => void): void {
    this.watchers = this.watchers.filter((watcher) => watcher.answer !== answer)
    answer()
  }

  private answerWatchers (): void {
    const waiting = this.watchers
    this.watchers = []
    for (const watcher of waiting) watcher.answer()
  }
}
