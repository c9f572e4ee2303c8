/**
 * The minimal proxy that the gateway is compared with. It accepts requests with
 * `http`, forwards them with `undici` to the upstreams in turn, and no more.
 */

import { createServer } from 'node:http'
import { Pool } from 'undici'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Dispatcher } from 'undici'
import { loopbackHost } from './constants.js'

const connectionsPerUpstream = 256
const pools = process.argv.slice(2).map((origin) => new Pool(origin, { connections: connectionsPerUpstream }))
let poolIndex = 0

const nextPool = (): Pool => {
  poolIndex = (poolIndex + 1) % pools.length
  const pool = pools[poolIndex]
  if (pool === undefined) throw new Error('usage: bareMain <upstream origin>...')
  return pool
}

const readBody = async (request: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks)
}

const forwardRequest = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
  await nextPool().stream({
    path: request.url ?? '/',
    method: (request.method ?? 'GET') as Dispatcher.HttpMethod,
    headers: { 'content-type': request.headers['content-type'] ?? 'application/json' },
    body: await readBody(request)
  }, ({ statusCode, headers }) => response.writeHead(statusCode, headers as Record<string, string>))
}

const server = createServer((request, response) => {
  forwardRequest(request, response).catch(() => response.destroy())
})

server.listen(0, loopbackHost, () => {
  process.stdout.write(JSON.stringify({ port: (server.address() as AddressInfo).port }) + '\n')
})
process.once('SIGTERM', () => process.exit(0))
