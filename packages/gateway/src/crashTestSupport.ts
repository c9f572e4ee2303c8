/**
 * Test support: four VMs of two regions, linked to each other, and upstreams
 * that close their port and all connections when they begin to answer a
 * request that crashes them, and are back some time later.
 */

import { toFailureDomainId, toRegionId, toVmId } from '@cuminvale/common'
import { expect } from 'vitest'
import { callGateway, freePort, sealedHead, silentLog, startTestGateway, startUpstream, testDocument, testHeaders, testRoute, wait } from './testSupport.js'
import type { IncomingMessage } from 'node:http'
import type { ServingDocument } from '@cuminvale/serving'
import type { CallerAnswer, ScriptedUpstream, TestGateway, UpstreamScript } from './testSupport.js'

export const regions = ['north', 'south'] as const
const domainRegions = new Map(regions.map((name) => [toFailureDomainId(`${name}-a`), toRegionId(name)]))
const upstreamsPerRegion = 4
const vmCount = 4
export const restartMilliseconds = 700
const answerMilliseconds = 5
const route = testRoute({ kind: 'safe', maximumAttempts: 3 })

export interface CrashFleetOptions {
  readonly crashes: (request: IncomingMessage, body: string) => boolean
  readonly upstreamsPerRegion?: number
}

export interface FleetRequest {
  readonly body?: string
  /** Ids of the parts of its prompt; the last one is its own. */
  readonly parts?: readonly string[]
  /** Index of the VM; by default one after the other. */
  readonly vm?: number
}

export class CrashFleet {
  readonly gateways: TestGateway[] = []
  /** Monotonic times of the crashes by requests. */
  readonly crashedAt: number[] = []
  /** Bodies that reached upstreams, with the times. */
  readonly arrivals: Array<{ readonly body: string, readonly at: number }> = []
  private upstreams: ScriptedUpstream[] = []
  private document: ServingDocument = testDocument([route])
  private readonly restarts: NodeJS.Timeout[] = []
  private readonly down = new Set<ScriptedUpstream>()
  private seed: string | undefined
  private sent = 0
  private started = 0

  constructor (private readonly options: CrashFleetOptions) {}

  async start (): Promise<void> {
    const count = this.options.upstreamsPerRegion ?? upstreamsPerRegion
    for (let index = 0; index < count; index += 1) {
      for (const region of regions) this.upstreams.push(await this.startUpstream(region))
    }
    for (let index = 0; index < vmCount; index += 1) await this.startVm()
  }

  /** Starts another VM, of one region after the other, and waits until all VMs hear each other. */
  async startVm (): Promise<void> {
    const index = this.gateways.length
    const region = regions[index % regions.length] ?? ''
    const linkPort = await freePort()
    this.seed ??= `127.0.0.1:${linkPort}`
    this.gateways.push(await startTestGateway(this.document, this.upstreams, silentLog, undefined, {
      vm: toVmId(`vm-${index}`), region: toRegionId(region), failureDomain: toFailureDomainId(`${region}-a`), domainRegions, linkPort, seeds: index === 0 ? [] : [this.seed]
    }))
    const hasLinks = (): boolean => this.gateways.every(({ gateway }) => gateway.state.peers.heardPeers({ readyOnly: true }).length === index)
    for (let waits = 0; waits < 100 && !hasLinks(); waits += 1) await wait(100)
    expect(hasLinks()).toBe(true)
  }

  stop (): void {
    this.restarts.forEach((timer) => clearTimeout(timer))
    this.gateways.forEach((gateway) => gateway.stop())
    this.upstreams.forEach(close)
  }

  get crashes (): number {
    return this.crashedAt.length
  }

  async send ({ body, parts = [], vm = this.sent % vmCount }: FleetRequest): Promise<CallerAnswer> {
    this.sent += 1
    const headers: Record<string, string> = parts.length === 0 ? {} : { [testHeaders.parts]: parts.join() }
    return await callGateway({ port: this.gateways[vm]?.port ?? 0, path: '/orders/1', attempt: `a${this.sent}`, body: body ?? `body ${this.sent}`, headers })
  }

  /** Publishes the next version of the configuration, with another timeout. */
  changeConfiguration (): void {
    const version = this.document.version + 1
    this.document = { ...this.document, version, routes: [{ ...route, timeoutMilliseconds: route.timeoutMilliseconds + version }] }
    this.publish()
  }

  /** Replaces the upstream that has run for longest by a new one, as a release does. */
  async releaseOne (): Promise<void> {
    const [oldest] = this.upstreams
    if (oldest === undefined) return
    const region = regions.find((name) => oldest.announced.failureDomain.startsWith(name)) ?? regions[0]
    this.upstreams = [...this.upstreams.slice(1), await this.startUpstream(region)]
    this.publish()
    this.restarts.push(setTimeout(() => close(oldest), restartMilliseconds))
  }

  /** Ends the upstream of a region that started last, whatever it runs. */
  crashOne (region: string): void {
    const last = this.upstreams.findLast((upstream) => upstream.announced.failureDomain.startsWith(region))
    if (last !== undefined) this.crash(last)
  }

  private publish (): void {
    for (const { decoder, gateway } of this.gateways) {
      decoder.view = { ...decoder.view, configuration: this.document, upstreams: this.upstreams.map(({ announced }) => announced) }
      gateway.state.adoptRecords()
    }
  }

  private async startUpstream (region: string): Promise<ScriptedUpstream> {
    this.started += 1
    const script: UpstreamScript = (request, response, body) => {
      this.arrivals.push({ body, at: performance.now() })
      if (!this.options.crashes(request, body)) {
        setTimeout(() => response.writeHead(200, sealedHead(request)).end('done'), answerMilliseconds)
        return
      }
      if (this.down.has(upstream)) return
      this.crashedAt.push(performance.now())
      this.crash(upstream)
    }
    const started = await startUpstream(`${region}-u${this.started}`, script)
    const upstream: ScriptedUpstream = { ...started, announced: { ...started.announced, failureDomain: toFailureDomainId(`${region}-a`) } }
    return upstream
  }

  private crash (upstream: ScriptedUpstream): void {
    if (this.down.has(upstream)) return
    this.down.add(upstream)
    close(upstream)
    const { host, port } = upstream.announced
    this.restarts.push(setTimeout(() => {
      this.down.delete(upstream)
      upstream.server.listen({ host, port })
    }, restartMilliseconds))
  }
}

const close = ({ server }: ScriptedUpstream): void => {
  server.close()
  server.closeAllConnections()
}
