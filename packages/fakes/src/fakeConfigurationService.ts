/**
 * Stand-in for the configuration service, in memory and over HTTP: values with
 * revisions, reads and waiting watches, a count of calls, and on demand an
 * outage or a replica that shows the past.
 */

import { Result } from 'true-myth'
import { toRevision } from '@cuminvale/common'
import { documentNames } from '@cuminvale/documents'
import { PlatformError, PlatformErrorKind } from '@cuminvale/services'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Revision } from '@cuminvale/common'
import type { DocumentName, DocumentTexts } from '@cuminvale/documents'
import type { ConfigurationService, PublishedDocuments } from '@cuminvale/services'
import { HttpFake, pathOf, sendJson } from './httpFake.js'

interface StoredValue {
  readonly revision: number
  readonly value: string
}

interface StoreState {
  readonly revision: number
  readonly values: ReadonlyMap<DocumentName, StoredValue>
}

const longestValueBytes = 1_048_576
const notFoundStatus = 404
const unavailableStatus = 503

const downError = (): PlatformError => new PlatformError(PlatformErrorKind.Refused, 'the service is down')

export class FakeConfigurationService implements ConfigurationService {
  readonly server = new HttpFake((request, response) => this.handle(request, response))
  /** Calls so far; a read of all documents is one for each, a watch is one. */
  calls = 0
  private down = false
  private state: StoreState = { revision: 0, values: new Map() }
  /** What a stale replica shows. */
  private shownPast: StoreState | undefined
  private readonly watchers = new Set<() => void>()

  constructor (texts: DocumentTexts) {
    this.publish(texts)
  }

  get revision (): number {
    return this.state.revision
  }

  get waitingWatches (): number {
    return this.watchers.size
  }

  /** Publishes documents under one new revision; those left out stay. */
  publish (texts: Partial<DocumentTexts>): number {
    const revision = this.state.revision + 1
    const values = new Map(this.state.values)
    for (const name of documentNames) {
      const value = texts[name]
      if (value === undefined) continue
      if (Buffer.byteLength(value) > longestValueBytes) throw new Error(`value of ${name} is over a megabyte`)
      values.set(name, { revision, value })
    }
    this.state = { revision, values }
    if (this.shownPast === undefined) this.wakeWatchers()
    return revision
  }

  text (name: DocumentName): string {
    return this.state.values.get(name)?.value ?? ''
  }

  /** While down, every call fails and waiting watches break off. */
  setDown (down: boolean): void {
    this.down = down
    if (down) this.wakeWatchers()
  }

  /** While stale, readers are shown the documents as they were at this moment. */
  setStale (stale: boolean): void {
    this.shownPast = stale ? this.state : undefined
    if (!stale) this.wakeWatchers()
  }

  read (): Promise<Result<PublishedDocuments, PlatformError>> {
    this.calls += documentNames.length
    if (this.down) return Promise.resolve(Result.err(downError()))
    const { values } = this.shown
    return Promise.resolve(Result.ok({
      revision: toRevision(Math.max(...[...values.values()].map(({ revision }) => revision))),
      texts: Object.fromEntries([...values].map(([name, { value }]) => [name, value])) as unknown as DocumentTexts
    }))
  }

  async watch (after: Revision, timeoutMilliseconds: number): Promise<Result<Revision, PlatformError>> {
    this.calls += 1
    if (!this.down && this.shown.revision <= after) await this.wait(timeoutMilliseconds)
    return this.down ? Result.err(downError()) : Result.ok(toRevision(this.shown.revision))
  }

  private get shown (): StoreState {
    return this.shownPast ?? this.state
  }

  private wait (timeoutMilliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer)
        this.watchers.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, timeoutMilliseconds)
      timer.unref()
      this.watchers.add(wake)
    })
  }

  private wakeWatchers (): void {
    for (const wake of [...this.watchers]) wake()
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = pathOf(request)
    if (url.pathname === '/v1/watch') return await this.answerWatch(url, response)
    this.calls += 1
    if (this.down) return sendJson(response, unavailableStatus, { error: 'down' })
    const value = this.shown.values.get(url.pathname.replace('/v1/values/', '') as DocumentName)
    if (value === undefined) return sendJson(response, notFoundStatus, { error: 'no such value' })
    sendJson(response, 200, { storeRevision: this.shown.revision, ...value })
  }

  private async answerWatch (url: URL, response: ServerResponse): Promise<void> {
    const after = toRevision(Number(url.searchParams.get('after')))
    const moved = await this.watch(after, Number(url.searchParams.get('timeoutMilliseconds')))
    if (response.destroyed) return
    if (moved.isErr) sendJson(response, unavailableStatus, { error: 'down' })
    else sendJson(response, 200, { storeRevision: moved.value })
  }
}
