/**
 * Test support: a gateway process on loopback, scripted upstreams, a codec with
 * its own header names, and published records that the test sets directly.
 */

import { createServer, request as httpRequest } from 'node:http'
import { connect } from 'node:net'
import { Result } from 'true-myth'
import { newIncarnationId, refusalStatus, runtimeClock, SeededRandom, toFailureDomainId, toRegionId, toRouteName, toTeamId, toUpstreamId, toVmId } from '@cuminvale/common'
import { GatewayProcess } from './gatewayProcess.js'
import { SourceError, SourceErrorKind } from './errors.js'
import type { IncomingHttpHeaders, IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { AnnouncedUpstream, AttemptId, PromptPartId, PublishedRecord, Route, ServedTeam, ServiceName, ServingDocument, SoftwareVersion } from '@cuminvale/serving'
import type { Clock } from '@cuminvale/common'
import type { Log } from '@cuminvale/logs'
import type { GatewaySettings, PublishedView, RecordChanges, RecordDecoder, RecordSnapshot, RecordSource, RequestCodec } from './types.js'

export const region = toRegionId('north')
export const domain = toFailureDomainId('north-a')
export const service = 'desk' as ServiceName
const host = '127.0.0.1'

export const testRoute = (changes: Partial<Route> = {}): Route => ({
  name: toRouteName('orders'),
  host: 'shop.example',
  pathPrefix: '/orders/',
  kind: 'order',
  isResumable: false,
  timeoutMilliseconds: 5_000,
  objectiveMilliseconds: 500,
  priority: 1,
  targets: [{ service, weight: 1 }],
  maximumAttempts: 1,
  isPublic: true,
  homes: [],
  ...changes
})

export const testDocument = (routes: readonly Route[], teams: readonly ServedTeam[] = []): ServingDocument => ({
  version: 1,
  routes,
  services: [{
    name: service, connectionsPerUpstream: 100, coldSeconds: 0, coldRequestsPerSecond: 0, isEngine: false, slots: 6, memoryTokens: 0
  }],
  teams,
  limits: { headerBytes: 16_384, bodyBytes: 100_000, headerTimeoutMilliseconds: 3_000, idleTimeoutMilliseconds: 15_000 }
})

export const testTeam = (changes: Partial<ServedTeam> = {}): ServedTeam => ({
  id: toTeamId('bindery'), keys: ['k1'], priority: undefined, countsTokens: false, plainTokens: 1, ratePerSecond: 0, burst: 0, homes: [], ...changes
})

/** Header names of this codec; a deployment's adapter has its own. */
export const testHeaders = { attempt: 'x-attempt', seal: 'x-seal', notRun: 'x-not-run', deadline: 'x-deadline', upstream: 'x-upstream', leaving: 'x-leaving', limit: 'x-limit', brittle: 'x-brittle', parts: 'x-parts', resumes: 'x-resumes', healthOf: 'x-upstream-id', cold: 'x-cold' } as const

const textOf = (value: string | string[] | undefined): string | undefined => typeof value === 'string' ? value : undefined

export const testCodec: RequestCodec = {
  decodeRequest: (request: IncomingMessage) => {
    const deadline = textOf(request.headers[testHeaders.deadline])
    return {
      attempt: textOf(request.headers[testHeaders.attempt]) as AttemptId | undefined,
      resumes: textOf(request.headers[testHeaders.resumes]) as AttemptId | undefined,
      method: request.method ?? 'GET',
      host: request.headers.host ?? '',
      path: request.url ?? '/',
      key: textOf(request.headers['x-key']),
      deadlineMilliseconds: deadline === undefined ? undefined : Number(deadline),
      tokens: undefined,
      parts: (textOf(request.headers[testHeaders.parts]) ?? '').split(',').filter((id) => id !== '').map((id) => ({ id: id as PromptPartId, tokens: 10 })),
      headers: ['host', testHeaders.attempt, 'last-event-id', testHeaders.parts].flatMap((name) => {
        const value = textOf(request.headers[name])
        return value === undefined ? [] : [name, value]
      })
    }
  },
  upstreamHeaders: ({ request, upstream, resumeAfter }) =>
    [...request.head.headers, testHeaders.upstream, upstream, ...resumeAfter === undefined ? [] : ['last-event-id', resumeAfter]],
  decodeAnswer: (status, headers) => ({
    status,
    attempt: headers[testHeaders.attempt] === undefined ? undefined : String(headers[testHeaders.attempt]) as AttemptId,
    isSealed: headers[testHeaders.seal] !== undefined,
    isDeclined: headers[testHeaders.notRun] !== undefined,
    promisesNotRun: [408, 421, 429, 503].includes(status),
    load: undefined,
    isLeaving: headers[testHeaders.leaving] === '1',
    pauseMilliseconds: status === 503 ? Number(textOf(headers['retry-after']) ?? 0) * 1_000 : 0,
    limitPerSecond: headers[testHeaders.limit] === undefined ? null : Number(headers[testHeaders.limit]),
    brittleRejections: headers[testHeaders.brittle] === undefined ? null : Number(headers[testHeaders.brittle]),
    headers: Object.entries(headers).flatMap(([name, value]) =>
      typeof value === 'string' && !['connection', 'keep-alive', 'transfer-encoding'].includes(name) ? [name, value] : [])
  }),
  decodeHealth: (status, headers) => {
    const upstream = textOf(headers[testHeaders.healthOf])
    return status === 200 && upstream !== undefined ? { upstream: toUpstreamId(upstream), coldMilliseconds: Number(headers[testHeaders.cold] ?? 0) } : undefined
  },
  statusOf: refusalStatus
}

/** A source without records, which refuses to report changes; tests set TestDecoder.view instead. */
export class TestSource implements RecordSource {
  /** Called for a read of what has changed up to now; false refuses it. */
  onRead: () => boolean = () => false
  private readonly refusal = new SourceError(SourceErrorKind.Refused, 'the test source reports no changes')

  async snapshot (): Promise<Result<RecordSnapshot, SourceError>> {
    return await Promise.resolve(Result.ok({ records: [], at: 1 }))
  }

  async changes (): Promise<Result<RecordChanges, SourceError>> {
    return await Promise.resolve(Result.err(this.refusal))
  }

  async currentChanges (after: number): Promise<Result<RecordChanges, SourceError>> {
    return await Promise.resolve(this.onRead() ? Result.ok({ changes: [], at: after }) : Result.err(this.refusal))
  }

  close (): void { /* nothing to close */ }
}

export class TestDecoder implements RecordDecoder {
  view: PublishedView = { configuration: undefined, upstreams: [], evacuated: new Set(), faults: [] }

  decode (_records: Iterable<PublishedRecord>): PublishedView {
    return this.view
  }

  decodeOne (): ReturnType<RecordDecoder['decodeOne']> {
    return {}
  }

  mayLapse (): boolean {
    return false
  }

  isOlder (): boolean {
    return false
  }
}

export interface ScriptedUpstream {
  readonly announced: AnnouncedUpstream
  readonly server: Server
  readonly seen: Array<{ readonly method: string, readonly path: string, readonly headers: IncomingHttpHeaders, readonly body: string }>
}

export type UpstreamScript = (request: IncomingMessage, response: ServerResponse, body: string) => void

/** Headers of an answer by an upstream that has run the request. */
export const sealedHead = (request: IncomingMessage): Record<string, string> => ({
  [testHeaders.attempt]: String(request.headers[testHeaders.attempt]), [testHeaders.seal]: 's1'
})

export const startUpstream = async (name: string, script: UpstreamScript): Promise<ScriptedUpstream> => {
  const seen: ScriptedUpstream['seen'] = []
  const server = createServer((request, response) => {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.on('end', () => {
      const body = Buffer.concat(chunks).toString()
      seen.push({ method: request.method ?? '', path: request.url ?? '', headers: request.headers, body })
      script(request, response, body)
    })
  })
  const port = await listen(server)
  return {
    announced: {
      id: toUpstreamId(name), service, host, port, failureDomain: domain, slots: 6, isLeaving: false, leavesInMilliseconds: undefined, coldMilliseconds: 0, startedAt: 1, softwareVersion: 'v1' as SoftwareVersion
    },
    server,
    seen
  }
}

export const listen = async (server: Server): Promise<number> => await new Promise((resolve) => {
  server.listen({ host, port: 0 }, () => {
    const address = server.address()
    resolve(address === null || typeof address === 'string' ? 0 : address.port)
  })
})

const portsPerWorker = 1_000
/** Below the ports that the kernel gives to connections, which take them at any time. Each worker of the test runner has its own, since a port is free until the test listens on it. */
const testPorts = { first: 12_000 + portsPerWorker * (Number(process.env['VITEST_POOL_ID'] ?? 0) % 9), count: portsPerWorker } as const

let nextPortOffset = Math.floor(Math.random() * testPorts.count)

/** A port that is free, that no connection takes, and that is not returned again soon: tests of one file may run at the same time. */
export const freePort = async (): Promise<number> => {
  const server = createServer()
  const port = testPorts.first + nextPortOffset
  nextPortOffset = (nextPortOffset + 1) % testPorts.count
  const isFree = await new Promise<boolean>((resolve) => {
    server.once('error', () => resolve(false))
    server.listen({ host, port }, () => server.close(() => resolve(true)))
  })
  return isFree ? port : await freePort()
}

export const wait = async (milliseconds: number): Promise<void> => await new Promise((resolve) => setTimeout(resolve, milliseconds))

export const silentLog: Log = { info: () => { /* not asserted */ }, warn: () => { /* not asserted */ }, error: () => { /* not asserted */ } }

export const testSettings: GatewaySettings = {
  vm: toVmId('vm-1'),
  region,
  failureDomain: domain,
  host,
  callerPort: 0,
  linkPort: 0,
  processorCapacity: 1,
  seeds: [],
  domainRegions: new Map([[domain, region]]),
  bounds: {
    configurationApplyMilliseconds: 3_000,
    upstreamLeavingMilliseconds: 3_000,
    leavingGraceMilliseconds: 8_000,
    retryRatio: 0.2,
    retryWindowSeconds: 10,
    retryMargin: 500,
    coldOverage: 1.5,
    coldMargin: 3
  }
}

export interface TestGateway {
  readonly gateway: GatewayProcess
  readonly decoder: TestDecoder
  readonly source: TestSource
  readonly port: number
  stop (): void
}

export const startTestGateway = async (document: ServingDocument, upstreams: readonly ScriptedUpstream[], log: Log = silentLog, clock: Clock = runtimeClock, settings: Partial<GatewaySettings> = {}): Promise<TestGateway> => {
  const decoder = new TestDecoder()
  const source = new TestSource()
  const gateway = new GatewayProcess({
    settings: { ...testSettings, ...settings },
    incarnation: newIncarnationId(),
    codec: testCodec,
    decoder,
    source,
    log,
    clock,
    random: new SeededRandom(1)
  })
  decoder.view = { configuration: document, upstreams: upstreams.map(({ announced }) => announced), evacuated: new Set(), faults: [] }
  await gateway.start()
  // The source reports no changes, and what tests set is complete.
  gateway.state.recordAgeMilliseconds = () => 0
  gateway.state.adoptRecords()
  return {
    gateway,
    decoder,
    source,
    port: gateway.callerPort,
    stop: () => {
      gateway.close()
      for (const { server } of upstreams) {
        server.close()
        server.closeAllConnections()
      }
    }
  }
}

export interface CallerAnswer {
  /** Undefined if the connection ended without an answer. */
  readonly status: number | undefined
  readonly headers: IncomingHttpHeaders
  readonly body: string
  readonly isWhole: boolean
}

export interface CallerRequest {
  readonly port: number
  readonly path: string
  readonly method?: string
  readonly headers?: Record<string, string>
  readonly body?: string
  readonly attempt?: string
}

export const callGateway = async ({ port, path, method = 'POST', headers = {}, body = '', attempt = 'a1' }: CallerRequest): Promise<CallerAnswer> =>
  await new Promise((resolve) => {
    const request = httpRequest({
      host, port, path, method, headers: { host: 'shop.example', [testHeaders.attempt]: attempt, ...headers }
    }, (response) => {
      const chunks: Buffer[] = []
      const settle = (isWhole: boolean): void =>
        resolve({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString(), isWhole })
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('end', () => settle(true))
      response.on('error', () => settle(false))
    })
    request.on('error', () => resolve({ status: undefined, headers: {}, body: '', isWhole: false }))
    request.end(body)
  })

/** Options of vi.waitUntil for what no bound of time is meant by. */
export const patiently = { timeout: 20_000, interval: 10 } as const

/** A client that writes its requests itself, and keeps what it reads. */
export interface RawClient {
  readonly socket: Socket
  text: string
  isClosed: boolean
}

export const openRawClient = (port: number, options: { readonly allowHalfOpen?: boolean } = {}): RawClient => {
  const socket = connect({ host, port, ...options })
  const client: RawClient = { socket, text: '', isClosed: false }
  socket.on('data', (chunk: Buffer) => { client.text += chunk.toString('latin1') })
  socket.on('error', () => { /* 'close' follows */ })
  socket.on('close', () => { client.isClosed = true })
  return client
}
