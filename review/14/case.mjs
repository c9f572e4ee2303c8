/**
 * One part of a prompt crashes each runner that begins to write an answer on it.
 * The prompts are those of long conversations: they share twenty parts, and that
 * one comes after them.
 */

import { request as httpRequest } from 'node:http'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Deployment, Record, judge, bounds, newAttempt, sealOf, sleep, soundRunner } from '../support-3/deployment.mjs'

const isTroubled = process.env.TROUBLE !== '0'
const record = new Record(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'))

const machines = ['luzon-a', 'luzon-a', 'luzon-a', 'visayas-a', 'visayas-a', 'visayas-a', 'mindanao-a', 'mindanao-a']
const runnerZones = ['luzon-a', 'luzon-a', 'luzon-a', 'visayas-a', 'visayas-a', 'mindanao-a', 'mindanao-a']
const sharedParts = Number(process.env.PARTS ?? 20)
const crashingPerSecond = 4
const soundPerSecond = 60
const restartMilliseconds = 2_500
const heartbeatMilliseconds = 1_200
const events = 8
const pauseMilliseconds = 120
const deadlineMilliseconds = 4_000
const calmMilliseconds = 12_000
const troubledMilliseconds = 45_000
const lateAfterCrash = 5
const lateCrashingAtMost = 3
const fewestSound = 20

const configuration = {
  version: 7,
  routes: [{ name: 'r-query', hostname: 'ficu95.example', pathPrefix: '/pufi791/', type: 'streaming', timeoutMs: deadlineMilliseconds, targetLatencyMs: 600, priority: 0, service: 'pool', maxAttempts: 2, public: false, sessionAffinity: true, resumable: true, gapTargetMs: 400, homeRegions: [] }],
  services: [{ name: 'pool', healthPath: '/health', maxConnections: 370, protocol: 'h1', tls: false, coldStartS: 0, coldPerS: 0, engine: { slots: 64, kvTokens: 373_256 } }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'huka270', apiKeys: ['i9n73hh2b9wu3fexd9dn'], priority: 1, ratePerS: 0, burst: 0, homeRegions: [] }]
}

const common = Array.from({ length: sharedParts }, (_, index) => `5c1e0${index.toString(16).padStart(3, '0')}:40`)
const crashingPart = 'dead0001'

/** A runner that is back, as a new one at the same address, some seconds after it has crashed. */
class Runner {
  starts = 0
  crashes = 0

  constructor ({ deployment, zone, name, state }) {
    Object.assign(this, { deployment, zone, name, state, sockets: new Set() })
  }

  async start () {
    this.starts += 1
    this.id = `i-${this.name}-${this.starts}`
    this.server = soundRunner({ id: this.id, version: 'v1', run: (exchange) => this.run(exchange) })
    this.server.on('connection', (socket) => {
      this.sockets.add(socket)
      socket.once('close', () => this.sockets.delete(socket))
    })
    if (this.address === undefined) this.address = await this.deployment.serve(this.server)
    else await new Promise((resolve, reject) => { this.server.once('error', reject).listen({ ...this.address, backlog: 512 }, resolve) })
    this.entry = { service: 'pool', address: `${this.address.host}:${this.address.port}`, zone: this.zone, version: 'v1', slots: 64, state: 'ready', coldRemainingMs: 0, stage: 'both', models: [{ name: 'm', version: 1, adapters: [] }], born: Date.now() }
    this.sequence = 0
    this.beat()
    this.beats = setInterval(() => this.beat(), heartbeatMilliseconds)
  }

  beat () {
    this.sequence += 1
    this.deployment.store.write(`servers/${this.id}`, { ...this.entry, sequence: this.sequence })
  }

  run ({ request, response }) {
    const attempt = request.headers['request-attempt-id']
    const isCrashing = request.headers['prompt-prefix'].includes(crashingPart)
    if (isCrashing) {
      this.state.crashingArrivals.push(Date.now())
      record.write(`runner ${this.id} gets ${attempt}, which has the part that crashes runners`)
      return this.crash()
    }
    let event = Number(request.headers['last-event-id'] ?? 0)
    response.writeHead(200, { 'request-attempt-id': attempt, 'response-seal': sealOf(), 'content-type': 'text/event-stream' })
    const timer = setInterval(() => {
      event += 1
      response.write(`id: ${event}\ndata: piece\n\n`)
      if (event < events) return
      clearInterval(timer)
      response.end()
    }, pauseMilliseconds)
    response.on('close', () => clearInterval(timer))
  }

  crash () {
    if (this.server === undefined) return
    const { id } = this
    this.state.crashes.push(Date.now())
    record.write(`runner ${id} crashes (crash ${this.state.crashes.length})`)
    clearInterval(this.beats)
    this.server.close()
    this.server = undefined
    for (const socket of this.sockets) socket.resetAndDestroy()
    // The store removes the entry after three intervals of silence.
    setTimeout(() => this.deployment.store.remove(`servers/${id}`), 3 * heartbeatMilliseconds)
    setTimeout(() => { this.start().catch((error) => record.write(`runner ${this.name} isn't back: ${error.message}`)) }, restartMilliseconds)
  }
}

/** One client attempt; resolves with what it got. A sound request counts as begun with its first event. */
const send = async ({ machine, parts }) => await new Promise((resolve) => {
  const attempt = newAttempt()
  const headers = { host: 'ficu95.example', 'request-attempt-id': attempt, 'request-deadline-ms': String(deadlineMilliseconds), 'x-api-key': 'i9n73hh2b9wu3fexd9dn', model: 'm', 'token-count': '900,64', 'prompt-prefix': [...parts, `${attempt.slice(-8)}:99`].join(',') }
  const result = { attempt, sentAt: Date.now(), status: undefined, hasBegun: false, isComplete: false }
  const finish = () => {
    clearTimeout(timer)
    request.destroy()
    resolve(result)
  }
  const timer = setTimeout(finish, deadlineMilliseconds)
  const request = httpRequest({ host: machine.ip, port: machine.front, path: '/pufi791/2f', method: 'POST', headers, agent: false }, (response) => {
    result.status = response.statusCode
    response.on('data', () => { if (response.statusCode === 200) result.hasBegun = true })
    response.on('end', () => {
      result.isComplete = result.hasBegun
      finish()
    })
    response.on('error', finish)
    response.on('close', finish)
  })
  request.on('error', finish)
  request.end(`prompt ${attempt}`)
})

const shareOf = (results) => results.length === 0 ? 0 : results.filter(({ hasBegun }) => hasBegun).length / results.length

const run = async () => {
  const deployment = await Deployment.start({ machines })
  const state = { crashes: [], crashingArrivals: [] }
  const runners = runnerZones.map((zone, index) => new Runner({ deployment, zone, name: `${zone}-${index + 1}`, state }))
  const timers = []
  try {
    deployment.store.write('op/config', configuration)
    for (const runner of runners) await runner.start()
    await deployment.startAll()
    const results = []
    const pending = []
    let next = 0
    timers.push(setInterval(() => {
      next += 1
      pending.push(send({ machine: deployment.machines[next % machines.length], parts: [...common, `50f7${(next % 5).toString(16).padStart(4, '0')}:60`] }).then((result) => results.push(result)))
    }, 1_000 / soundPerSecond))
    await sleep(calmMilliseconds)
    const troubledAt = Date.now()
    record.write('calm is over')
    if (isTroubled) {
      timers.push(setInterval(() => {
        send({ machine: deployment.machines[Math.floor(Math.random() * machines.length)], parts: [...common, `${crashingPart}:60`] })
          .then(({ attempt, status }) => record.write(`client: ${attempt} with the crashing part: ${status ?? 'no answer'}`), () => { /* never */ })
      }, 1_000 / crashingPerSecond))
    }
    await sleep(troubledMilliseconds)
    const endedAt = Date.now()
    timers.forEach(clearInterval)
    await Promise.all(pending)
    const { crashes, crashingArrivals } = state
    const fifthAt = crashes[Math.min(crashes.length, lateAfterCrash) - 1]
    const lateArrivals = crashes.length < lateAfterCrash ? [] : crashingArrivals.filter((at) => at > fifthAt + bounds.contactMs)
    const before = results.filter(({ sentAt }) => sentAt < troubledAt)
    const late = fifthAt === undefined ? [] : results.filter(({ sentAt }) => sentAt > fifthAt + 2 * bounds.contactMs && sentAt < endedAt)
    const [shareBefore, shareLate] = [shareOf(before), shareOf(late)]
    record.write(`RESULT ${sharedParts} shared parts: crashes ${crashes.length}; requests with the crashing part that reached runners later than ${bounds.contactMs} ms after the fifth crash: ${lateArrivals.length}; sound requests that began at the first attempt: ${before.length} before, share ${shareBefore.toFixed(2)}; ${late.length} later than ${2 * bounds.contactMs} ms after the fifth crash, share ${shareLate.toFixed(2)}`)
    if (shareBefore < 0.9 || before.length < fewestSound) return undefined
    const isOverBudget = lateArrivals.length > lateCrashingAtMost
    const isLost = late.length >= fewestSound && shareLate < shareBefore / 2
    return isOverBudget || isLost
  } finally {
    timers.forEach(clearInterval)
    deployment.stop()
  }
}

judge(run, record)
