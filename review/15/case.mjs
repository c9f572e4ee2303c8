/**
 * A machine stands still for five seconds. While it does, the first runner of a
 * new software version starts. The clients of that machine abandon their streams
 * after the gap that the pages name, and take them up again at other machines.
 */

import { request as httpRequest } from 'node:http'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Deployment, Record, judge, newAttempt, sealOf, sleep, soundRunner } from '../support-3/deployment.mjs'

const isTroubled = process.env.TROUBLE !== '0'
const hasRelease = process.env.RELEASE !== '0'
const record = new Record(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'))

const machines = ['luzon-a', 'luzon-a', 'luzon-a', 'visayas-a', 'visayas-a', 'visayas-a', 'mindanao-a', 'mindanao-a']
const zones = [...new Set(machines)]
const runnersPerZone = 2
/** Until the machines have seen one version for longer than a stream lasts. */
const settleMilliseconds = 30_000
const freezeMilliseconds = 5_000
/** From the begin of the standstill to the start of the first runner of the new version. */
const releaseMilliseconds = 1_500
const targetLatencyMs = 600
const gapTargetMs = 400
const deadlineMilliseconds = 6_000
const abandonMilliseconds = Math.max(2_000, 4 * targetLatencyMs, 8 * gapTargetMs)
const events = 12
const pauseMilliseconds = 200
const streamsPerSecond = 12
/** The sheet: one retry. */
const maximumTries = 2

const configuration = {
  version: 7,
  routes: [{ name: 'r-query', hostname: 'ficu95.example', pathPrefix: '/pufi791/', type: 'streaming', timeoutMs: deadlineMilliseconds, targetLatencyMs, priority: 0, service: 'pool', maxAttempts: 2, public: false, sessionAffinity: true, resumable: true, gapTargetMs, homeRegions: [] }],
  services: [{ name: 'pool', healthPath: '/health', maxConnections: 370, protocol: 'h1', tls: false, coldStartS: 0, coldPerS: 0, engine: { slots: 64, kvTokens: 373_256 } }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'huka270', apiKeys: ['i9n73hh2b9wu3fexd9dn'], priority: 1, ratePerS: 0, burst: 0, homeRegions: [] }]
}

/** Streams events from the one after Last-Event-Id; each names the software version that made it. */
const streamEvents = ({ id, version, request, response }) => {
  const attempt = request.headers['request-attempt-id']
  let event = Number(request.headers['last-event-id'] ?? 0)
  record.write(`runner ${id} (${version}) runs ${attempt}${event === 0 ? '' : ` after event ${event}`}`)
  response.writeHead(200, { 'request-attempt-id': attempt, 'response-seal': sealOf(), 'content-type': 'text/event-stream', 'server-load': '0,0,64' })
  const next = () => {
    event += 1
    response.write(`id: ${event}\ndata: ${version}\n\n`)
    if (event < events) return
    clearInterval(timer)
    response.end()
  }
  const timer = setInterval(next, pauseMilliseconds)
  response.on('close', () => clearInterval(timer))
}

/** One try of a client; resolves once it is complete, abandoned or failed. */
const tryStream = async ({ machine, attempt, stream, until }) => await new Promise((resolve) => {
  const headers = { host: 'ficu95.example', 'request-attempt-id': attempt, 'request-deadline-ms': String(Math.max(1, Math.round(until - Date.now()))), 'x-api-key': 'i9n73hh2b9wu3fexd9dn', model: 'm', 'token-count': '291,48', 'prompt-prefix': `5c1e07a2:92,${attempt.slice(-8)}:199` }
  if (stream.lastEvent > 0) Object.assign(headers, { 'last-event-id': String(stream.lastEvent), resumes: stream.firstAttempt })
  const result = { status: undefined, events: 0, isComplete: false, retryAfterMilliseconds: 0 }
  let gapTimer
  const finish = () => {
    clearTimeout(gapTimer)
    clearTimeout(deadlineTimer)
    request.destroy()
    resolve(result)
  }
  const deadlineTimer = setTimeout(finish, Math.max(0, until - Date.now()))
  const restartGap = () => {
    clearTimeout(gapTimer)
    gapTimer = setTimeout(finish, abandonMilliseconds)
  }
  const request = httpRequest({ host: machine.ip, port: machine.front, path: '/pufi791/2f', method: 'POST', headers, agent: false }, (response) => {
    result.status = response.statusCode
    result.retryAfterMilliseconds = Number(response.headers['retry-after'] ?? 0) * 1000
    let text = ''
    response.setEncoding('utf8')
    response.on('data', (data) => {
      restartGap()
      if (response.statusCode !== 200) return
      text += data
      for (let end = text.indexOf('\n\n'); end >= 0; end = text.indexOf('\n\n')) {
        const [, id, version] = /id: (\d+)\ndata: (\w+)/.exec(text.slice(0, end)) ?? []
        text = text.slice(end + 2)
        if (stream.lastEvent === 0) stream.firstAttempt = attempt
        if (Number(id) !== stream.lastEvent + 1) stream.faults.push(`event ${id} after ${stream.lastEvent}`)
        stream.lastEvent = Number(id)
        stream.versions.add(version)
        result.events += 1
      }
    })
    response.on('end', () => {
      result.isComplete = stream.lastEvent === events
      finish()
    })
    response.on('error', finish)
    response.on('close', finish)
  })
  request.on('error', finish)
  request.end('hello')
  restartGap()
})

/** A client's stream with its tries, the later ones at other machines. */
const runStream = async ({ first, others, state }) => {
  const stream = { begunAt: Date.now(), machine: first.name, firstAttempt: undefined, lastEvent: 0, versions: new Set(), faults: [], isTakenUp: false, goesOn: false, isComplete: false }
  state.streams.push(stream)
  const until = stream.begunAt + deadlineMilliseconds
  for (let count = 0; count < maximumTries && Date.now() < until; count += 1) {
    const machine = count === 0 ? first : others[Math.floor(Math.random() * others.length)]
    const attempt = newAttempt()
    const isTakenUp = stream.lastEvent > 0
    const result = await tryStream({ machine, attempt, stream, until })
    if (count > 0 || !result.isComplete) record.write(`client: ${attempt} at ${machine.name}${isTakenUp ? ` takes up ${stream.firstAttempt}` : ''}: status ${result.status ?? 'none'}, ${result.events} events${result.isComplete ? ', complete' : ''}`)
    if (isTakenUp) {
      stream.isTakenUp = true
      if (result.events > 0) stream.goesOn = true
    }
    if (result.isComplete) {
      stream.isComplete = true
      return
    }
    // Clients honour the time up to a third of what they have left.
    await sleep(Math.min(result.retryAfterMilliseconds, Math.max(0, until - Date.now()) / 3))
  }
}

const run = async () => {
  const deployment = await Deployment.start({ machines })
  const { store } = deployment
  try {
    store.write('op/config', configuration)
    let sequence = 0
    const entries = []
    const startRunner = async (id, zone, version) => {
      const { host, port } = await deployment.serve(soundRunner({ id, version, run: streamEvents }))
      entries.push({ id, value: { service: 'pool', address: `${host}:${port}`, zone, version, slots: 64, state: 'ready', coldRemainingMs: 0, stage: 'both', models: [{ name: 'm', version: 1, adapters: [] }], born: Date.now() } })
      store.write(`servers/${id}`, { ...entries.at(-1).value, sequence: 1 })
    }
    for (const zone of zones) {
      for (let index = 1; index <= runnersPerZone; index += 1) await startRunner(`i-${zone}-${index}`, zone, 'v1')
    }
    const beats = setInterval(() => {
      sequence += 1
      for (const { id, value } of entries) store.write(`servers/${id}`, { ...value, sequence: sequence + 1 })
    }, 1_200)
    await deployment.startAll()
    record.write(`${machines.length} machines are ready; runners of v1 serve`)
    const state = { streams: [] }
    const running = []
    let next = 0
    await sleep(settleMilliseconds - 4_000)
    const traffic = setInterval(() => {
      const first = deployment.machines[next % deployment.machines.length]
      next += 1
      running.push(runStream({ first, others: deployment.machines.filter((machine) => machine !== first), state }))
    }, 1_000 / streamsPerSecond / deployment.machines.length)
    await sleep(4_000)
    const [frozen] = deployment.machines
    const frozenAt = Date.now()
    if (isTroubled) {
      frozen.child.kill('SIGSTOP')
      record.write(`${frozen.name} stands still`)
    }
    await sleep(releaseMilliseconds)
    if (hasRelease) {
      await startRunner('i-luzon-a-new', 'luzon-a', 'v2')
      record.write('the first runner of v2 has started and is in the store')
    }
    await sleep(freezeMilliseconds - releaseMilliseconds)
    if (isTroubled) {
      frozen.child.kill('SIGCONT')
      record.write(`${frozen.name} goes on`)
    }
    await sleep(2_000)
    clearInterval(traffic)
    await Promise.all(running)
    clearInterval(beats)
    const takenUp = state.streams.filter(({ isTakenUp }) => isTakenUp)
    const goOn = takenUp.filter(({ goesOn }) => goesOn)
    // New streams that clients began at the other machines in the same time.
    const fresh = state.streams.filter(({ begunAt, machine }) => machine !== frozen.name && begunAt >= frozenAt && begunAt <= frozenAt + freezeMilliseconds)
    const begun = fresh.filter(({ lastEvent }) => lastEvent > 0)
    const mixed = state.streams.filter(({ versions }) => versions.size > 1)
    const faulty = state.streams.filter(({ faults }) => faults.length > 0)
    const share = takenUp.length === 0 ? 1 : goOn.length / takenUp.length
    const freshShare = fresh.length === 0 ? 0 : begun.length / fresh.length
    record.write(`taken up: ${takenUp.length}, of which go on: ${goOn.length} (${share.toFixed(2)}); new streams: ${fresh.length}, of which begin: ${begun.length} (${freshShare.toFixed(2)})`)
    record.write(`streams of two versions: ${mixed.length}; with pieces missing or twice: ${faulty.length}`)
    if (freshShare < 0.5) return undefined
    const isLost = takenUp.length >= 12 && share < freshShare / 2
    return isLost || mixed.length > 2 || faulty.length > 0
  } finally {
    for (const { child } of deployment.machines) child?.kill('SIGCONT')
    deployment.stop()
  }
}

judge(run, record)
