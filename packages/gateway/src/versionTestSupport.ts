/**
 * Test support: VMs of two regions, linked to each other, and upstreams of
 * several software versions that stream events which name their version.
 */

import { toFailureDomainId, toRegionId, toVmId } from '@cuminvale/common'
import { expect } from 'vitest'
import { callGateway, freePort, sealedHead, silentLog, startTestGateway, startUpstream, testDocument, testHeaders, testRoute, wait } from './testSupport.js'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AnnouncedUpstream, Route, ServiceName, SoftwareVersion } from '@cuminvale/serving'
import type { GatewayPeerLinks } from './gatewayPeerLinks.js'
import type { CallerAnswer, ScriptedUpstream, TestGateway } from './testSupport.js'

export const regions = ['north', 'south'] as const
export type RegionName = typeof regions[number]
const domainRegions = new Map(regions.map((name) => [toFailureDomainId(`${name}-a`), toRegionId(name)]))

export const otherService = 'other' as ServiceName

export const eventsPerStream = 6
/** The event after which an upstream breaks off a stream. */
const lastEventBeforeBreak = 2
const eventIntervalMilliseconds = 10
const settleMilliseconds = 150
/** Below the gap between two ticks after which a VM counts as one that stood still. */
const clockStepMilliseconds = 4_000
const clockStepPauseMilliseconds = 450

export interface VersionedUpstream extends ScriptedUpstream {
  /** What it runs, whatever its announcement says. */
  version: string
  /** Listens on its port again after its server was closed. */
  readonly listenAgain: () => Promise<void>
}

export interface StreamCall {
  readonly vm: number
  readonly attempt: string
  /** Whether the upstream that begins the stream breaks it off. */
  readonly breaks?: boolean
  /** The attempt that began the stream, and the last event that its caller has. */
  readonly resumes?: string
  readonly after?: number
}

export interface StreamAnswer extends CallerAnswer {
  readonly eventIds: readonly number[]
  /** Versions of the upstreams that made the events, each once. */
  readonly versions: readonly string[]
}

export interface VersionFleetOptions {
  /** Versions that each region has one upstream of. */
  readonly versions: readonly string[]
  readonly route?: Partial<Route>
  readonly vmCount?: number
  readonly eventIntervalMilliseconds?: number
}

export class VersionFleet {
  readonly gateways: TestGateway[] = []
  upstreams: VersionedUpstream[] = []
  /** Age of the records at all VMs. */
  recordAgeMilliseconds = 0
  /** Added to the steady clocks of all VMs. */
  private clockLeadMilliseconds = 0
  private readonly clock = { monotonic: () => performance.now() + this.clockLeadMilliseconds, wall: () => Date.now() + this.clockLeadMilliseconds }
  private seed: string | undefined
  private readonly linkPorts: number[] = []
  private route: Route
  private configurationVersion = 100

  constructor (private readonly options: VersionFleetOptions) {
    this.route = testRoute({ kind: 'stream', isResumable: true, maximumAttempts: 3, ...options.route })
  }

  async start (): Promise<void> {
    for (const region of regions) {
      for (const version of this.options.versions) this.upstreams.push(await this.startUpstream(`${region}-${version}`, region, version))
    }
    for (let index = 0; index < (this.options.vmCount ?? 4); index += 1) await this.startVm()
  }

  /** Starts another VM, of one region after the other, and waits until all VMs hear each other. */
  async startVm (): Promise<void> {
    const index = this.gateways.length
    const linkPort = await freePort()
    this.seed ??= `127.0.0.1:${linkPort}`
    this.linkPorts.push(linkPort)
    this.gateways.push(await this.startGateway(index, this.upstreams))
    await this.untilLinked()
  }

  /** Starts all VMs anew after they were killed, with records that show only the given upstreams. */
  async restartVms (upstreams: readonly VersionedUpstream[]): Promise<void> {
    const started = await Promise.all(this.linkPorts.map(async (_port, index) => await this.startGateway(index, upstreams)))
    this.gateways.splice(0, this.gateways.length, ...started)
    await this.untilLinked()
  }

  /** Ends a VM in order, so that the others know that it has left, and starts it anew. */
  async rollVm (index: number): Promise<void> {
    await this.gateways[index]?.gateway.leave()
    this.killVm(index)
    this.gateways[index] = await this.startGateway(index, this.upstreams)
    await this.untilLinked()
  }

  /** Ends a VM at once and starts it anew. */
  async replaceVm (index: number): Promise<void> {
    this.killVm(index)
    this.gateways[index] = await this.startGateway(index, this.upstreams)
    await this.untilLinked()
  }

  /** Lets time pass at all VMs, in steps after which they hear each other again. */
  async pass (milliseconds: number): Promise<void> {
    for (let left = milliseconds; left > 0; left -= clockStepMilliseconds) {
      this.clockLeadMilliseconds += Math.min(left, clockStepMilliseconds)
      await wait(clockStepPauseMilliseconds)
    }
  }

  /** Lets time pass at all VMs at once, as after they stood still. */
  standStill (milliseconds: number): void {
    this.clockLeadMilliseconds += milliseconds
  }

  private async startGateway (index: number, upstreams: readonly VersionedUpstream[]): Promise<TestGateway> {
    const region = regions[index % regions.length] ?? regions[0]
    const started = await startTestGateway(testDocument([this.route]), upstreams, silentLog, this.clock, {
      vm: toVmId(`vm-${index}`), region: toRegionId(region), failureDomain: toFailureDomainId(`${region}-a`), domainRegions, linkPort: this.linkPorts[index] ?? 0, seeds: index === 0 ? [] : [this.seed ?? '']
    })
    started.gateway.state.recordAgeMilliseconds = () => this.recordAgeMilliseconds
    return started
  }

  private async untilLinked (): Promise<void> {
    const hasLinks = (): boolean => this.gateways.every(({ gateway }) => gateway.state.peers.heardPeers({ readyOnly: true }).length === this.gateways.length - 1)
    for (let waits = 0; waits < 100 && !hasLinks(); waits += 1) await wait(100)
    expect(hasLinks()).toBe(true)
    // Speakers plan their links to other regions on a tick.
    await wait(settleMilliseconds * 3)
  }

  async startUpstream (name: string, region: RegionName, version: string): Promise<VersionedUpstream> {
    const started = await startUpstream(name, (request, response) => { this.stream(upstream, request, response).catch(() => response.destroy()) })
    const announced: AnnouncedUpstream = { ...started.announced, failureDomain: toFailureDomainId(`${region}-a`), softwareVersion: version as SoftwareVersion }
    const listenAgain = async (): Promise<void> => await new Promise((resolve) => {
      started.server.listen({ host: announced.host, port: announced.port }, () => resolve())
    })
    const upstream: VersionedUpstream = { ...started, announced, version, listenAgain }
    return upstream
  }

  publish (upstreams: readonly AnnouncedUpstream[] = this.upstreams.map(({ announced }) => announced), vms: readonly number[] = [...this.gateways.keys()]): void {
    for (const { decoder, gateway } of this.gateways.filter((_gateway, index) => vms.includes(index))) {
      decoder.view = { ...decoder.view, upstreams }
      gateway.state.adoptRecords()
    }
  }

  /** Of the route now. */
  get targets (): Route['targets'] {
    return this.route.targets
  }

  /** Publishes a configuration whose only route differs from the last one. */
  publishRoute (changes: Partial<Route>, vms: readonly number[] = [...this.gateways.keys()]): void {
    this.route = { ...this.route, ...changes }
    this.configurationVersion += 1
    const { configurationVersion: version, route } = this
    for (const { decoder, gateway } of this.gateways.filter((_gateway, index) => vms.includes(index))) {
      const document = testDocument([route])
      decoder.view = { ...decoder.view, configuration: { ...document, version, services: [...document.services, ...document.services.map((service) => ({ ...service, name: otherService }))] } }
      gateway.state.adoptRecords()
    }
  }

  /** Ends a VM at once. */
  killVm (index: number): void {
    this.gateways[index]?.gateway.close()
  }

  /** Cuts a VM off from all others, while callers and upstreams reach it. */
  cutVm (index: number): void {
    const gateway = this.gateways[index]?.gateway
    if (gateway === undefined) return
    const links = Reflect.get(gateway, 'links') as GatewayPeerLinks
    links.tick = () => { /* dials no other VM */ }
    links.close()
  }

  /** Lets a VM neither tell other VMs anything of streams nor read what they tell, while callers and upstreams reach it. */
  muteVm (index: number): void {
    const origins = this.gateways[index]?.gateway.state.versions.origins
    if (origins === undefined) return
    origins.receiveOrigins = () => { /* unread */ }
    origins.receiveQuestion = () => { /* unread */ }
    origins.tell = () => { /* unsent */ }
    origins.announceVersions = () => { /* unsent */ }
  }

  stop (): void {
    this.gateways.forEach((gateway) => gateway.stop())
    for (const { server } of this.upstreams) {
      server.close()
      server.closeAllConnections()
    }
  }

  async call ({ vm, attempt, breaks = false, resumes, after }: StreamCall): Promise<StreamAnswer> {
    const answer = await callGateway({
      port: this.gateways[vm]?.port ?? 0,
      path: breaks ? '/orders/breaks' : '/orders/whole',
      attempt,
      headers: { ...resumes === undefined ? {} : { [testHeaders.resumes]: resumes }, ...after === undefined ? {} : { 'last-event-id': String(after) } }
    })
    const events = [...answer.body.matchAll(/id: (\d+)\ndata: (\S+)\n\n/g)]
    return { ...answer, eventIds: events.map(([, id]) => Number(id)), versions: [...new Set(events.map(([, , version]) => version ?? ''))] }
  }

  /** Begins a stream and returns its version, with what its caller has of it. */
  async begin (vm: number, attempt: string): Promise<string> {
    const { versions } = await this.call({ vm, attempt })
    await wait(settleMilliseconds)
    return versions[0] ?? ''
  }

  private async stream (upstream: VersionedUpstream, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const lastEventId = Number(request.headers['last-event-id'] ?? 0)
    response.writeHead(200, { ...sealedHead(request), 'content-type': 'text/event-stream' })
    for (let id = lastEventId + 1; id <= eventsPerStream; id += 1) {
      response.write(`id: ${id}\ndata: ${upstream.version}\n\n`)
      await wait(this.options.eventIntervalMilliseconds ?? eventIntervalMilliseconds)
      if (lastEventId === 0 && id === lastEventBeforeBreak && request.url?.endsWith('/breaks') === true) {
        request.socket.resetAndDestroy()
        return
      }
    }
    response.end()
  }
}
