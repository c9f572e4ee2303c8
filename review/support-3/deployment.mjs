/**
 * A small deployment on loopback: the platform's store, runners, and processes
 * of the project that are started with the run command of the deploy file. Each
 * machine has an address of its own in 127.0.0.0/8, and all use the same ports.
 * The stand-ins hold to PROTOCOL.md; a case changes what it needs.
 */

import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, request as httpRequest } from 'node:http'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

export const repository = join(dirname(fileURLToPath(import.meta.url)), '..', '..')

export const sleep = async (milliseconds) => await new Promise((resolve) => { setTimeout(resolve, milliseconds) })

/** The bounds of the sheets in SYSTEM.md, the same on both. */
export const bounds = {
  seedLagS: 3,
  reuseDelayS: 2,
  contactMs: 5000,
  ackMs: 6000,
  catchUpS: 4,
  drainMs: 3000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 3000,
  rollbackSlackMs: 250,
  outerMs: 8000,
  strictRevoke: false,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  budgetMargin: 56,
  quotaWindowS: 8,
  quotaOverage: 0.25,
  quotaMargin: 190000,
  coldOverage: 1.5,
  coldMargin: 3,
  evacuateMs: 5000,
  recoveryS: 12,
  passMs: 600,
  retryAfterS: 10,
  ttl_max_s: 5
}

const toml = (value) => Array.isArray(value) ? `[${value.map(toml).join(',')}]` : JSON.stringify(value)

const table = (name, fields) => `[${name}]\n${Object.entries(fields).map(([key, value]) => `${key} = ${toml(value)}\n`).join('')}`

/** The program and arguments of the deploy file's role. */
const runCommand = () => {
  const text = readFileSync(join(repository, 'deploy/system.toml'), 'utf8')
  const [, command = ''] = /^run = "(.*)"$/m.exec(text) ?? []
  return command.split(' ')
}

/** Writes what was sent, answered and run to record.txt of a case. */
export class Record {
  constructor (path) {
    this.path = path
    this.startedAt = Date.now()
    writeFileSync(path, '')
  }

  write (text) {
    appendFileSync(this.path, `${((Date.now() - this.startedAt) / 1000).toFixed(3)} ${text}\n`)
  }
}

const pageItems = 500
const pageBytes = 1_000_000
/** History that the store keeps, as on the sheets. */
const historyMilliseconds = 20_000

/** The platform's store: linearizable, with the last seconds of its history. */
export class Store {
  revision = 100
  items = new Map()
  history = []
  /** Last revision whose change is no longer in the history. */
  droppedUntil = 0
  waiting = new Set()

  constructor () {
    this.server = createServer((request, response) => this.handle(request, response))
  }

  write (key, value) {
    this.writeBytes(key, Buffer.from(JSON.stringify(value)))
  }

  writeBytes (key, bytes) {
    this.revision += 1
    const item = { key, value: bytes.toString('base64'), revision: this.revision, created: this.items.get(key)?.created ?? this.revision, lease: 0 }
    this.items.set(key, item)
    this.remember(item)
    this.wake()
  }

  remove (key) {
    if (!this.items.delete(key)) return
    this.revision += 1
    this.remember({ key, revision: this.revision, deleted: true })
    this.wake()
  }

  remember (event) {
    this.history.push({ event, text: Buffer.from(JSON.stringify(event)), at: Date.now() })
  }

  forgetOld () {
    while (this.history.length > 0 && this.history[0].at < Date.now() - historyMilliseconds) this.droppedUntil = this.history.shift().event.revision
  }

  wake () {
    for (const check of [...this.waiting]) check()
  }

  handle (request, response) {
    const url = new URL(request.url, 'http://store')
    const answer = (status, body) => {
      const text = JSON.stringify(body)
      response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
      response.end(text)
    }
    const prefix = url.searchParams.get('pathPrefix') ?? ''
    if (url.pathname === '/v1/kv-range') {
      const after = url.searchParams.get('after') ?? ''
      const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((first, second) => first.key < second.key ? -1 : 1)
      let [count, bytes] = [0, 0]
      while (count < Math.min(items.length, pageItems) && bytes < pageBytes) {
        bytes += items[count].value.length
        count += 1
      }
      return answer(200, { items: items.slice(0, count), hasMore: items.length > count, at: this.revision })
    }
    if (url.pathname === '/v1/kv-watch') {
      const after = Number(url.searchParams.get('after'))
      this.forgetOld()
      if (after < this.droppedUntil) return answer(410, {})
      const eventsNow = () => this.history.filter(({ event: { key, revision } }) => revision > after && key.startsWith(prefix))
      const finish = () => {
        clearTimeout(timer)
        this.waiting.delete(check)
        const parts = eventsNow().flatMap(({ text }, index) => index === 0 ? [text] : [Buffer.from(','), text])
        const body = [Buffer.from('{"events":['), ...parts, Buffer.from(`],"at":${this.revision}}`)]
        response.writeHead(200, { 'content-type': 'application/json', 'content-length': body.reduce((sum, { length }) => sum + length, 0) })
        for (const part of body) response.write(part)
        response.end()
      }
      const check = () => { if (eventsNow().length > 0) finish() }
      const timer = setTimeout(finish, Math.min(30_000, Number(url.searchParams.get('waitMs') ?? 0)))
      this.waiting.add(check)
      response.once('close', () => { clearTimeout(timer); this.waiting.delete(check) })
      return check()
    }
    if (url.pathname === '/v1/kv-key') {
      const item = this.items.get(url.searchParams.get('key'))
      return item === undefined ? answer(404, { at: this.revision }) : answer(200, { ...item, at: this.revision })
    }
    answer(404, {})
  }
}

export const listen = async (server, host, port = 0) => await new Promise((resolve, reject) => {
  server.once('error', reject)
  server.listen({ host, port, backlog: 512 }, () => resolve(server.address().port))
})

/** Processes that run; none outlives the script, whatever ends it. */
const started = new Set()
process.on('exit', () => { for (const child of started) child.kill('SIGKILL') })
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(signal, () => process.exit(exitCodes.notRun))

/** Told apart from the 1 with which Node.js ends for an error of its own; run.sh translates them. */
export const exitCodes = { held: 0, broken: 10, notRun: 2 }

/** Runs a case and ends the script with its result: whether the rule was broken, or undefined if that can't be judged. */
export const judge = (run, record) => {
  const fail = (error) => {
    record.write(`could not run: ${error.stack}`)
    process.exit(exitCodes.notRun)
  }
  process.on('uncaughtException', fail)
  run().then((isBroken) => {
    record.write(isBroken === undefined ? 'could not be judged' : isBroken ? 'the rule was broken' : 'the rule held')
    process.exit(isBroken === undefined ? exitCodes.notRun : isBroken ? exitCodes.broken : exitCodes.held)
  }, fail)
}

/** An address block of this run, so that two runs don't meet. */
const block = `127.${20 + process.pid % 200}.${1 + Math.floor(Math.random() * 250)}`

export class Deployment {
  store = new Store()
  machines = []
  servers = []
  directory = mkdtempSync(join(tmpdir(), 'review-'))
  nextHost = 10

  /** `machines` lists the zone of each; a zone is also its region. */
  static async start ({ machines, memoryMb = 350, maxFds = 4100 }) {
    const deployment = new Deployment()
    const storePort = await listen(deployment.store.server, `${block}.2`)
    deployment.servers.push(deployment.store.server)
    const [front, ready, control, directory] = [8221, 8224, 8229, 8220]
    const zones = Object.fromEntries(machines.map((zone) => [zone, zone.replace(/-a$/, '')]))
    machines.forEach((zone, index) => {
      const ip = `${block}.${100 + index}`
      deployment.machines.push({ name: `edge-${zone}-${index + 1}`, ip, zone, front, ready, control, directory, output: '', child: undefined })
    })
    const seeds = [...new Map(deployment.machines.map((machine) => [machine.zone, `${machine.ip}:${control}`])).values()].slice(0, 3)
    for (const { name, ip, zone } of deployment.machines) {
      writeFileSync(join(deployment.directory, `${name}.toml`), [
        `nodeName = "${name}"\nrole = "gateway"\nmachineClass = "edge"\nserves = ["edge","directory","control_plane"]\nip = "${ip}"\nzone = "${zone}"\nregion = "${zones[zone]}"\n`,
        `portRange = [7600,7615]\nseeds = ${toml(seeds)}\nbootstrap = true\nfaultCounted = false\ndiscovery = "platform"\nentry = "directory"\nheartbeatMs = 1200\n`,
        'contracts = ["base","drain","config","cost","retry","recover","engine","stream","places","tenants","quota","platform"]\n',
        table('zones', zones),
        table('listen', { front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}`, directory: `${ip}:${directory}` }),
        table('limits', { cpuShare: 0.675, cores: 1, memoryMb, maxFds, linkMbps: 1000.0, diskMb: 0 }),
        table('faultTolerance', { machines: 2, zones: 1, regions: 1 }),
        table('bounds', bounds),
        table('platform', { address: `${block}.2:${storePort}`, form: 'read', writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000 })
      ].join(''))
    }
    return deployment
  }

  /** Starts the process of a machine with the command of the deploy file. */
  startProcess (machine) {
    const [program, ...parameters] = runCommand()
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, parameters, { cwd: repository, env: { PATH, HOME, LANG, CUMINVALE_NODE_FILE: join(this.directory, `${machine.name}.toml`) }, stdio: ['ignore', 'pipe', 'pipe'] })
    for (const stream of [child.stdout, child.stderr]) stream.on('data', (data) => { machine.output = (machine.output + data.toString()).slice(-200_000) })
    child.once('exit', (code, signal) => { machine.ended = { code, signal, at: Date.now() } })
    machine.ended = undefined
    machine.child = child
    machine.starts = (machine.starts ?? 0) + 1
    started.add(child)
    child.once('exit', () => started.delete(child))
    return child
  }

  async startAll () {
    for (const machine of this.machines) this.startProcess(machine)
    const until = Date.now() + 20_000
    for (const machine of this.machines) {
      while (!await isReady(machine)) {
        if (Date.now() > until) throw new Error(`${machine.name} isn't ready: ${machine.output.slice(-2000)}`)
        await sleep(50)
      }
    }
    // Links between the machines come up.
    await sleep(2_000)
  }

  /** Listens with a server on an address of its own. */
  async serve (server, port = 0) {
    const host = `${block}.${this.nextHost}`
    this.nextHost += 1
    this.servers.push(server)
    return { host, port: await listen(server, host, port) }
  }

  stop () {
    for (const { child, ended } of this.machines) {
      if (child !== undefined && ended === undefined) child.kill('SIGKILL')
    }
    for (const server of this.servers) {
      server.close()
      server.closeAllConnections?.()
    }
    rmSync(this.directory, { recursive: true, force: true })
  }
}

export const isReady = async (machine) => await new Promise((resolve) => {
  const request = httpRequest({ host: machine.ip, port: machine.ready, path: '/v1/ready', timeout: 2_000, agent: false }, (response) => {
    response.resume()
    resolve(response.statusCode === 200)
  })
  request.on('timeout', () => request.destroy())
  request.on('error', () => resolve(false))
  request.end()
})

let sealCount = 0

/** Whether a request names another runner, or none of its ids; answered as PROTOCOL.md tells. */
export const declineOther = (request, response, id) => {
  const expected = request.headers['expected-instance']
  if (expected === undefined || expected === id) return false
  request.resume()
  response.writeHead(421, { 'instance-id': id, 'not-executed': '1', 'request-attempt-id': request.headers['request-attempt-id'] ?? '', 'content-length': 0 })
  response.end()
  return true
}

export const sealOf = () => `3e1b.${(sealCount += 1).toString(16)}.c9f2`

/** A sound runner of a plain service. `run` answers a request whose body was read. */
export const soundRunner = ({ id, run, version }) => {
  const server = createServer({ keepAliveTimeout: 15_000, maxHeaderSize: 131_072 }, (request, response) => {
    if (request.url === '/health') {
      response.writeHead(200, { 'instance-id': id, 'content-length': 0 })
      return response.end()
    }
    if (declineOther(request, response, id)) return
    const chunks = []
    request.on('data', (chunk) => chunks.push(chunk))
    request.on('end', () => run({ id, version, request, response, body: Buffer.concat(chunks) }))
  })
  server.maxHeadersCount = 0
  return server
}

export const answerSealed = (request, response, body, headers = {}) => {
  response.writeHead(200, { 'request-attempt-id': request.headers['request-attempt-id'], 'response-seal': sealOf(), 'content-length': Buffer.byteLength(body), ...headers })
  response.end(body)
}

/** One request on a connection of its own, as text; resolves with what came. */
export const rawRequest = async ({ host, port, text, timeoutMilliseconds = 8_000 }) => await new Promise((resolve) => {
  const socket = connect({ host, port })
  let received = ''
  let error
  const timer = setTimeout(() => socket.destroy(new Error('timed out')), timeoutMilliseconds)
  socket.on('data', (data) => { received += data.toString('latin1') })
  socket.on('error', ({ message }) => { error = message })
  socket.on('close', () => {
    clearTimeout(timer)
    const [, status] = /^HTTP\/1\.1 (\d{3})/.exec(received) ?? []
    resolve({ status: status === undefined ? undefined : Number(status), received, error })
  })
  socket.write(text)
})

let attemptCount = 0

export const newAttempt = () => `a${process.pid.toString(16)}${(attemptCount += 1).toString(16).padStart(8, '0')}`
