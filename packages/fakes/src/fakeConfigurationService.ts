/**
 * Fake configuration service, in memory and over HTTP. It stores values with
 * revisions, answers reads and long-polling watches, and counts calls. It can
 * simulate an outage, or a replica that serves outdated documents.
 */

import { Result } from 'true-myth'
import { toRevision } from '@cuminvale/common'
import { documentNames } from '@cuminvale/documents'
import { PlatformError, PlatformErrorKind } from '@cuminvale/services'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Revision } from '@cuminvale/common'
import type { DocumentName, DocumentTexts } from '@cuminvale/documents'
import type { ConfigurationService, PublishedDocuments } from '@cuminvale/services'
import { LoopbackHttpServer, urlOf, sendJson } from './loopbackHttpServer.js'

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

const outageError = (): PlatformError => new PlatformError(PlatformErrorKind.Refused, 'the service is down')

export class FakeConfigurationService implements ConfigurationService {
  readonly server = new LoopbackHttpServer((request, response) => this.handle(request, response))
  /** Calls so far. A read of all documents counts one call per document, a watch counts one. */
  calls = 0
  private down = false
  private state: StoreState = { revision: 0, values: new Map() }
  /** State that readers get while the service is stale; undefined otherwise. */
  private staleState: StoreState | undefined
  private readonly watchers = new Set<() => void>()

  constructor (texts: DocumentTexts) {
    this.publish(texts)
  }

  get revision (): number {
    return this.state.revision
  }

  get pendingWatchCount (): number {
    return this.watchers.size
  }

  /** Publishes documents under one new revision. Documents that are left out keep their text and revision. */
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
    if (this.staleState === undefined) this.wakeWatchers()
    return revision
  }

  text (name: DocumentName): string {
    return this.state.values.get(name)?.value ?? ''
  }

  /** While the service is down, every call fails, and so does each watch that was waiting. */
  setDown (down: boolean): void {
    this.down = down
    if (down) this.wakeWatchers()
  }

  /** While the service is stale, readers get the documents as they were at the last call with `true`. */
  setStale (stale: boolean): void {
    this.staleState = stale ? this.state : undefined
    if (!stale) this.wakeWatchers()
  }

  read (): Promise<Result<PublishedDocuments, PlatformError>> {
    this.calls += documentNames.length
    if (this.down) return Promise.resolve(Result.err(outageError()))
    const { values } = this.visibleState
    return Promise.resolve(Result.ok({
      revision: toRevision(Math.max(...[...values.values()].map(({ revision }) => revision))),
      texts: Object.fromEntries([...values].map(([name, { value }]) => [name, value])) as unknown as DocumentTexts
    }))
  }

  async watch (after: Revision, timeoutMilliseconds: number): Promise<Result<Revision, PlatformError>> {
    this.calls += 1
    if (!this.down && this.visibleState.revision <= after) await this.wait(timeoutMilliseconds)
    return this.down ? Result.err(outageError()) : Result.ok(toRevision(this.visibleState.revision))
  }

  private get visibleState (): StoreState {
    return this.staleState ?? this.state
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
    const url = urlOf(request)
    if (url.pathname === '/v1/watch') return await this.answerWatch(url, response)
    this.calls += 1
    if (this.down) return sendJson(response, unavailableStatus, { error: 'down' })
    const value = this.visibleState.values.get(url.pathname.replace('/v1/values/', '') as DocumentName)
    if (value === undefined) return sendJson(response, notFoundStatus, { error: 'no such value' })
    sendJson(response, 200, { storeRevision: this.visibleState.revision, ...value })
  }

  private async answerWatch (url: URL, response: ServerResponse): Promise<void> {
    const after = toRevision(Number(url.searchParams.get('after')))
    const revision = await this.watch(after, Number(url.searchParams.get('timeoutMilliseconds')))
    if (response.destroyed) return
    if (revision.isErr) sendJson(response, unavailableStatus, { error: 'down' })
    else sendJson(response, 200, { storeRevision: revision.value })
  }
}
