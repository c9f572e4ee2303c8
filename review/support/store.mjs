/**
 * Stand-in of the platform's metadata store: paged reads and watches over one
 * linearizable list of records, as PROTOCOL.md describes them.
 */

import { createServer } from 'node:http'
import { freePort, host, pause } from './ports.mjs'

const pageSize = 500
const answerMilliseconds = 4

export class Store {
  port = 0
  revision = 1
  records = new Map()
  history = []
  waiting = new Set()

  async start () {
    this.port = await freePort()
    this.server = createServer((request, response) => {
      this.answer(new URL(request.url, 'http://store'), response).catch(() => response.destroy())
    })
    await new Promise((resolve) => this.server.listen(this.port, host, resolve))
  }

  stop () {
    this.server.close()
    this.server.closeAllConnections()
  }

  get address () {
    return `${host}:${this.port}`
  }

  put (key, value) {
    this.revision += 1
    const record = { key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision: this.revision, created: this.records.get(key)?.created ?? this.revision, lease: 0 }
    this.records.set(key, record)
    this.changed(record)
  }

  remove (key) {
    if (!this.records.delete(key)) return
    this.revision += 1
    this.changed({ key, revision: this.revision, deleted: true })
  }

  changed (event) {
    this.history.push(event)
    for (const wake of [...this.waiting]) wake()
  }

  async answer (url, response) {
    await pause(answerMilliseconds)
    const prefix = url.searchParams.get('pathPrefix') ?? ''
    let body
    if (url.pathname === '/v1/kv-watch') body = await this.watch(prefix, Number(url.searchParams.get('after')), Number(url.searchParams.get('waitMs')))
    else if (url.pathname === '/v1/kv-range') body = this.range(prefix, url.searchParams.get('after') ?? '')
    else body = this.records.get(url.searchParams.get('key'))
    response.writeHead(body === undefined ? 404 : 200, { 'content-type': 'application/json', 'store-era': '1' })
    response.end(JSON.stringify(body ?? {}))
  }

  range (prefix, after) {
    const items = [...this.records.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((first, second) => first.key < second.key ? -1 : 1)
    return { items: items.slice(0, pageSize), hasMore: items.length > pageSize, at: this.revision }
  }

  async watch (prefix, after, waitMilliseconds) {
    const find = () => this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix))
    if (find().length === 0) {
      await new Promise((resolve) => {
        const end = () => {
          this.waiting.delete(end)
          clearTimeout(timer)
          resolve()
        }
        const timer = setTimeout(end, waitMilliseconds)
        this.waiting.add(end)
      })
    }
    return { events: find(), at: this.revision }
  }
}
