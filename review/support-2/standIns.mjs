/**
 * Small stand-ins for the scripts of the second review: the platform's store,
 * model runners, a network link between regions, and processes of the program.
 * Node.js only; every address is a loopback address.
 */

import { spawn } from 'node:child_process'
import { readFileSync, readdirSync, readlinkSync, writeFileSync } from 'node:fs'
import { createServer as createHttpServer } from 'node:http'
import { connect, createServer } from 'node:net'
import { fileURLToPath } from 'node:url'
import { join } from 'node:path'

export const host = '127.0.0.1'
export const pause = async (milliseconds) => await new Promise((resolve) => { setTimeout(resolve, milliseconds) })

const repository = fileURLToPath(new URL('../../', import.meta.url))

const listen = async (server, port = 0) => await new Promise((resolve, reject) => {
  server.once('error', reject)
  server.listen({ host, port }, () => resolve(server.address().port))
})

const givenPorts = new Set()

/** A port that is free and was not given before, below those that the kernel gives to outgoing connections. */
export const freePort = async () => {
  for (;;) {
    const server = createServer()
    const port = 12_000 + Math.floor(Math.random() * 19_000)
    const isFree = !givenPorts.has(port) && await listen(server, port).then(() => true, () => false)
    if (!isFree) continue
    givenPorts.add(port)
    await new Promise((resolve) => { server.close(resolve) })
    return port
  }
}

/** What was sent, answered and run, with the seconds since the start. */
export class Journal {
  startedAt = performance.now()
  lines = []

  note (text) {
    this.lines.push(`${((performance.now() - this.startedAt) / 1_000).toFixed(3)} ${text}`)
  }

  write (path) {
    writeFileSync(path, `${this.lines.join('\n')}\n`)
  }
}

/** The platform's store: items with revisions, pages and watches. Always sound. */
export class Store {
  revision = 1
  items = new Map()
  changes = []
  watchers = new Set()

  /** With a port, at the address that it had. */
  async start (port = 0) {
    this.server = createHttpServer((request, response) => this.answer(request, response))
    this.port = await listen(this.server, port)
  }

  put (key, value) {
    this.revision += 1
    const item = { key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision: this.revision, created: this.revision, lease: 0 }
    this.items.set(key, item)
    this.change(item)
  }

  remove (key) {
    this.revision += 1
    this.items.delete(key)
    this.change({ key, revision: this.revision, deleted: true })
  }

  change (event) {
    this.changes.push(event)
    for (const wake of [...this.watchers]) wake()
  }

  answer (request, response) {
    const url = new URL(request.url, 'http://store')
    const send = (body) => response.writeHead(200, { 'content-type': 'application/json', 'store-era': '1' }).end(JSON.stringify(body))
    const prefix = url.searchParams.get('pathPrefix') ?? ''
    const after = url.searchParams.get('after') ?? ''
    if (url.pathname === '/v1/kv-range') {
      const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((first, second) => (first.key < second.key ? -1 : 1))
      return send({ items, hasMore: false, at: this.revision })
    }
    if (url.pathname !== '/v1/kv-watch') return response.writeHead(404).end()
    const later = () => this.changes.filter(({ key, revision }) => key.startsWith(prefix) && revision > Number(after))
    const finish = () => {
      clearTimeout(timer)
      this.watchers.delete(wake)
      if (!response.destroyed) send({ events: later(), at: this.revision })
    }
    const wake = () => { if (later().length > 0) finish() }
    const timer = setTimeout(finish, Math.min(30_000, Number(url.searchParams.get('waitMs') ?? 0)))
    this.watchers.add(wake)
    response.on('close', () => { clearTimeout(timer); this.watchers.delete(wake) })
    wake()
  }

  stop () {
    this.server.close()
    this.server.closeAllConnections()
  }
}

/** A sound runner: `slots` requests at once, its id and its seal in all answers; a run ends when its connection closes. */
export class Runner {
  running = 0
  arrivals = 0

  constructor ({ id, slots, journal, run, decline = () => false }) {
    Object.assign(this, { id, slots, journal, run, decline })
  }

  /** With a port, at the address that it had. */
  async start (port = 0) {
    this.server = createHttpServer((request, response) => {
      const chunks = []
      request.on('data', (chunk) => chunks.push(chunk))
      request.on('end', () => this.answer(request, response))
      request.on('error', () => { /* 'close' follows */ })
      response.on('error', () => { /* 'close' follows */ })
    })
    this.server.keepAliveTimeout = 10_000
    this.port = await listen(this.server, port)
  }

  get load () {
    return `${Math.min(this.running, this.slots)},${Math.max(0, this.running - this.slots)},${this.slots}`
  }

  answer (request, response) {
    const { 'request-attempt-id': attempt, 'expected-instance': expected } = request.headers
    if (request.url === '/health') return response.writeHead(200, { 'instance-id': this.id, 'server-load': this.load }).end()
    if (attempt === undefined) return response.writeHead(400, { 'not-executed': '1' }).end()
    if (expected !== undefined && expected !== this.id) return response.writeHead(421, { 'instance-id': this.id, 'request-attempt-id': attempt }).end()
    this.arrivals += 1
    const head = { 'request-attempt-id': attempt, 'server-load': this.load }
    if (this.running >= this.slots || this.decline()) {
      this.journal.note(`runner ${this.id} arrival ${attempt} declined`)
      return response.writeHead(503, { ...head, 'not-executed': '1', 'content-length': 0 }).end()
    }
    this.running += 1
    this.journal.note(`runner ${this.id} arrival ${attempt} deadline ${request.headers['request-deadline-ms']}`)
    this.journal.note(`runner ${this.id} begins ${attempt}`)
    let isOver = false
    const end = (how) => {
      if (isOver) return
      isOver = true
      this.running -= 1
      this.journal.note(`runner ${this.id} ends ${attempt} ${how}`)
    }
    response.on('close', () => {
      clearTimeout(deadline)
      end('connection closed')
    })
    // A runner stops work at the time that it was handed; its 504 counts as run.
    const deadline = setTimeout(() => {
      if (isOver) return
      end('deadline')
      if (response.headersSent) response.destroy()
      else response.writeHead(504, { ...head, 'response-seal': `${this.id}.${attempt}`, 'content-length': 0 }).end()
    }, Number(request.headers['request-deadline-ms'] ?? 60_000))
    this.run({ request, response, head: { ...head, 'response-seal': `${this.id}.${attempt}` }, end, isOver: () => isOver })
  }

  stop () {
    this.server.close()
    this.server.closeAllConnections()
  }
}

/**
 * A link to one process from other regions. While it is cut, nothing passes in
 * either direction; what was sent, ends included, arrives in order once it is
 * whole again, as TCP sends it once more.
 */
export class Link {
  isCut = false
  sockets = new Set()
  lanes = new Set()

  /** `isFar` tells by its ports whether a connection comes from another region; others are neither delayed nor cut. `isOfCut` tells whether a far one is cut with the link. */
  constructor ({ delayMilliseconds, targetPort, isFar = () => true, isOfCut = () => true }) {
    Object.assign(this, { delayMilliseconds, targetPort, isFar, isOfCut })
  }

  async start () {
    this.server = createServer({ allowHalfOpen: true, noDelay: true }, (from) => {
      const { remotePort, localPort } = from
      const isFar = this.isFar(remotePort, localPort)
      const isOfCut = isFar && this.isOfCut(remotePort, localPort)
      const to = connect({ host, port: this.targetPort(), allowHalfOpen: true, noDelay: true })
      this.addLane(from, to, { isFar, isOfCut })
      this.addLane(to, from, { isFar, isOfCut })
    })
    this.port = await listen(this.server)
  }

  addLane (from, to, { isFar, isOfCut }) {
    const lane = { queue: [], to, timer: undefined, isOfCut }
    this.sockets.add(from)
    this.lanes.add(lane)
    const add = (deliver) => {
      lane.queue.push({ deliver, at: performance.now() + (isFar ? this.delayMilliseconds : 0) })
      this.serve(lane)
    }
    from.on('data', (chunk) => add(() => to.write(chunk)))
    from.on('end', () => add(() => to.end()))
    from.on('error', () => add(() => to.resetAndDestroy()))
    from.on('close', () => this.sockets.delete(from))
  }

  serve (lane) {
    if (lane.timer !== undefined || (this.isCut && lane.isOfCut)) return
    const [first] = lane.queue
    if (first === undefined) return
    lane.timer = setTimeout(() => {
      lane.timer = undefined
      // What is on its way when the link is cut is lost on the way, and sent once more later.
      if (this.isCut && lane.isOfCut) return
      const now = performance.now()
      while (lane.queue[0] !== undefined && lane.queue[0].at <= now + 1) lane.queue.shift().deliver()
      this.serve(lane)
    }, Math.max(0, first.at - performance.now()))
  }

  cut () {
    this.isCut = true
  }

  heal () {
    this.isCut = false
    for (const lane of this.lanes) this.serve(lane)
  }

  stop () {
    this.server.close()
    for (const lane of this.lanes) clearTimeout(lane.timer)
    for (const socket of this.sockets) socket.destroy()
    for (const { to } of this.lanes) to.destroy()
  }
}

const portOf = (address) => Number.parseInt(address.split(':')[1], 16)

/** Whether a process that this script started has the socket between a local port and a remote one. */
export const hasSocket = (processId, localPort, remotePort) => {
  const fields = readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1).map((line) => line.trim().split(/\s+/))
  const inode = fields.find(([, local, remote]) => remote !== undefined && portOf(local) === localPort && portOf(remote) === remotePort)?.[9]
  try {
    return inode !== undefined && readdirSync(`/proc/${processId}/fd`).some((name) => {
      try {
        return readlinkSync(`/proc/${processId}/fd/${name}`) === `socket:[${inode}]`
      } catch {
        return false
      }
    })
  } catch {
    return false
  }
}

/** The run command of the deploy file, after its build. */
const runCommand = () => {
  const text = readFileSync(join(repository, 'deploy/system.toml'), 'utf8')
  const [, command] = /^run = "([^"]+)"$/m.exec(text)
  return command.split(' ')
}

/** One machine: a process of the program with its own settings, behind a link. */
export class Machine {
  constructor ({ name, region, zone, zones, folder, storePort, delayMilliseconds, isFar, isOfCut, journal }) {
    Object.assign(this, { name, region, zone, zones, folder, storePort, journal })
    this.ports = {}
    this.link = new Link({ delayMilliseconds, targetPort: () => this.ports.control, isFar, isOfCut })
  }

  async prepare () {
    await this.link.start()
    for (const port of ['front', 'ready', 'control', 'directory']) this.ports[port] = await freePort()
  }

  get linkAddress () {
    return `${host}:${this.link.port}`
  }

  start (seeds) {
    const { name, region, zone, zones, ports } = this
    const path = join(this.folder, `${name}.toml`)
    writeFileSync(path, `nodeName = "${name}"
role = "gateway"
machineClass = "edge"
serves = ["edge", "directory", "control_plane"]
ip = "${host}"
zone = "${zone}"
region = "${region}"
seeds = [${seeds.map((seed) => `"${seed}"`).join(', ')}]
bootstrap = true
[zones]
${Object.entries(zones).map(([zoneName, zoneRegion]) => `${zoneName} = "${zoneRegion}"`).join('\n')}
[listen]
front = "${host}:${ports.front}"
ready = "${host}:${ports.ready}"
control = "${host}:${ports.control}"
directory = "${host}:${ports.directory}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 5000
drainMs = 3000
graceS = 8
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetMargin = 56
quotaWindowS = 8
quotaOverage = 0.25
quotaMargin = 190000
coldOverage = 1.5
coldMargin = 3
evacuateMs = 5000
recoveryS = 12
ttl_max_s = 5
[platform]
address = "${host}:${this.storePort}"
`)
    const [command, ...parameters] = runCommand()
    this.child = spawn(command === 'node' ? process.execPath : command, parameters, {
      cwd: repository,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, CUMINVALE_NODE_FILE: path, CUMINVALE_METRICS_PORT: '0', CUMINVALE_ADVERTISED_LINK: this.linkAddress },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    this.log = []
    this.child.stdout.on('data', (chunk) => this.log.push(chunk))
    this.child.stderr.on('data', (chunk) => this.log.push(chunk))
    this.hasEnded = false
    this.child.once('exit', (code, signal) => {
      this.hasEnded = true
      this.journal.note(`process ${name} ends ${code ?? signal}`)
    })
    this.journal.note(`process ${name} starts`)
  }

  async ready (milliseconds) {
    const until = performance.now() + milliseconds
    for (;;) {
      const isReady = await fetch(`http://${host}:${this.ports.ready}/v1/ready`).then(({ status }) => status === 200, () => false)
      if (isReady) return
      if (performance.now() > until || this.hasEnded) throw new Error(`${this.name} is not ready`)
      await pause(100)
    }
  }

  /** Asks the process to stop, and waits for its end; after the grace it is killed. */
  async terminate () {
    const ended = new Promise((resolve) => { this.child.once('exit', resolve) })
    this.child.kill('SIGTERM')
    const grace = setTimeout(() => this.child.kill('SIGKILL'), 8_000)
    await ended
    clearTimeout(grace)
  }

  /** Ends the process at once; the caller starts it again. */
  async kill () {
    const ended = new Promise((resolve) => { this.child.once('exit', resolve) })
    this.child.kill('SIGKILL')
    await ended
  }

  async stop () {
    this.link.stop()
    if (this.child === undefined || this.hasEnded) return
    const ended = new Promise((resolve) => { this.child.once('exit', resolve) })
    this.child.kill('SIGKILL')
    await ended
  }
}
