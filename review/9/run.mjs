/**
 * The runners of a service are replaced one after the other by ones of the next
 * software version. Shortly after the first of them is there, the process of a
 * machine is killed. Fails if of the streams that its clients take up at the
 * other machines, less than half as many go on as new ones begin. PART=kill
 * leaves out the release, PART=release the kill; PART=split has in place of the
 * release a configuration that splits the route.
 */

import { mkdtempSync, rmSync } from 'node:fs'
import { Agent, request as send } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Journal, Machine, Runner, Store, host, pause } from '../support-2/standIns.mjs'

const brokenExitCode = 10
const hasTrouble = process.env.TROUBLE !== '0'
const hasRelease = hasTrouble && !['kill', 'split'].includes(process.env.PART)
const hasSplit = hasTrouble && process.env.PART === 'split'
const hasKill = hasTrouble && process.env.PART !== 'release'
/** Time after the start in which all machines learn of each other and of the runners. */
const settledSeconds = 30
/** Time between two replacements, and from the first new runner to the kill. */
const releaseGapSeconds = 2
const killAfterSeconds = 1
const drainSeconds = 3
const runnerCount = 8
/** Runners that the release replaces, a share of 0.375. */
const replacedCount = 3
const streamsPerSecondAndMachine = 6
const events = 18
const firstEventMilliseconds = 200
const pauseMilliseconds = 250
const deadlineMilliseconds = 6_000
const gapMilliseconds = 3_200
/** The sheet says one; with more, a stream may go on at a later try. */
const retries = 3
/** From the rule. */
const leastTakenUp = 12
const leastShare = 1 / 2

const zones = { 'monza-a': 'lombardia' }
const folder = mkdtempSync(join(tmpdir(), 'review-9-'))
const journal = new Journal()
const store = new Store()
const machines = []
const agent = new Agent({ keepAlive: false, maxSockets: 400 })

const stream = ({ request, response, head, end, isOver }) => {
  let next = Number(request.headers['last-event-id'] ?? 0) + 1
  response.writeHead(200, { ...head, 'content-type': 'text/event-stream' })
  response.flushHeaders()
  const emit = () => {
    if (isOver()) return
    response.write(`id: ${next}\ndata: piece ${next}\n\n`)
    next += 1
    if (next <= events) return setTimeout(emit, pauseMilliseconds)
    end('whole')
    response.end()
  }
  setTimeout(emit, firstEventMilliseconds)
}

/** One that leaves says so in all its answers, and to health checks. */
class ReplacedRunner extends Runner {
  isLeaving = false

  answer (request, response) {
    if (!this.isLeaving) return super.answer(request, response)
    response.setHeader('server-leaving', '1')
    if (request.url === '/health') return response.writeHead(503, { 'instance-id': this.id, 'server-load': this.load }).end()
    super.answer(request, response)
  }
}

const runners = []

const startRunner = async (version, service = 'redattore') => {
  const runner = new ReplacedRunner({ id: `i-${runners.length + 1}f3a91c2`, slots: 64, journal, run: stream })
  await runner.start()
  Object.assign(runner, { service, version, born: Date.now() })
  runners.push(runner)
  journal.note(`runner ${runner.id} serves, version ${version}`)
  announce(runner, 'ready', 1)
}

const announce = ({ id, port, service, version, born }, state, sequence) => store.put(`servers/${id}`, { service, address: `${host}:${port}`, zone: 'monza-a', version, slots: 64, state, coldRemainingMs: 0, stage: 'both', models: [], sequence, born })

/** The runner drains, and leaves once its streams have ended. */
const drain = async (runner) => {
  runner.isLeaving = true
  announce(runner, 'draining', 2)
  journal.note(`runner ${runner.id} drains`)
  await pause(drainSeconds * 1_000)
  while (runner.running > 0) await pause(100)
  await pause(500)
  store.remove(`servers/${runner.id}`)
  runner.stop()
  journal.note(`runner ${runner.id} has left`)
}

/** One after the other: the new runner starts first, then the old one drains. */
const release = async () => {
  for (const leaving of runners.slice(0, replacedCount)) {
    await startRunner('v2')
    drain(leaving).catch((error) => journal.note(`a runner could not leave: ${error.stack}`))
    await pause(releaseGapSeconds * 1_000)
  }
}

const tally = { begun: 0, fresh: 0, takenUp: 0, goneOn: 0 }
let sent = 0

/** The front machines as clients know them: those that are ready. */
const readyMachines = () => machines.filter((machine) => machine.isListed)

/** One client attempt; resolves with the last event that came, and whether the stream ended whole, or how it failed. */
const attempt = async (machine, id, part, deadlineAt, taken) => await new Promise((resolve) => {
  let [lastEvent, fresh, isOver] = [taken?.lastEvent ?? 0, 0, false]
  const finish = (how, retryAfter = 0) => {
    if (isOver) return
    isOver = true
    clearTimeout(gap)
    journal.note(`client ${id} ${how}, ${fresh} events, the last ${lastEvent}`)
    resolve({ lastEvent, fresh, isWhole: how === 'ends whole', retryAfter })
  }
  const leave = () => {
    finish('leaves after a gap')
    call.destroy()
  }
  journal.note(`client sends ${id} to ${machine.name}${taken === undefined ? '' : `, resumes ${taken.resumes} after event ${taken.lastEvent}`}`)
  const call = send({
    host,
    port: machine.ports.front,
    agent,
    method: 'POST',
    path: '/draft/2f',
    headers: {
      host: 'ficu95.example',
      'request-attempt-id': id,
      model: 'm',
      'token-count': '383,120',
      'prompt-prefix': part,
      'request-deadline-ms': String(Math.floor(deadlineAt - performance.now())),
      'x-api-key': 'i9n73hh2b9wu3fexd9dn',
      'content-length': part.length,
      ...taken === undefined ? {} : { resumes: taken.resumes, 'last-event-id': String(taken.lastEvent) }
    }
  }, (response) => {
    if (response.statusCode !== 200) {
      response.resume()
      return finish(`gets ${response.statusCode}`, Number(response.headers['retry-after'] ?? 0) * 1_000)
    }
    response.on('data', (chunk) => {
      for (const [, event] of String(chunk).matchAll(/^id: (\d+)$/gm)) {
        lastEvent = Number(event)
        fresh += 1
      }
      clearTimeout(gap)
      gap = setTimeout(leave, gapMilliseconds)
    })
    response.on('end', () => finish('ends whole'))
    response.on('error', () => finish('is cut'))
  })
  let gap = setTimeout(leave, gapMilliseconds)
  call.on('error', () => finish('gets no answer'))
  call.end(part)
})

/** A stream with the client's retries: after its first event, on a new connection at another machine. */
const ask = async (machine) => {
  sent += 1
  const first = `a-${process.pid}-${sent}`
  const part = `5c1e07a2:92,e${sent.toString(16)}:291`
  const deadlineAt = performance.now() + deadlineMilliseconds
  tally.begun += 1
  let result = await attempt(machine, first, part, deadlineAt)
  if (result.lastEvent > 0) tally.fresh += 1
  if (result.lastEvent === 0) return
  let hasGoneOn = false
  for (let retry = 1; retry <= retries && !result.isWhole; retry += 1) {
    await pause(Math.max(100, result.retryAfter))
    const others = readyMachines().filter((other) => other !== machine)
    const other = others[Math.floor(Math.random() * others.length)]
    if (other === undefined || deadlineAt - performance.now() < 500) break
    if (retry === 1) tally.takenUp += 1
    result = await attempt(other, `${first}-${retry}`, part, deadlineAt, { resumes: first, lastEvent: result.lastEvent })
    hasGoneOn ||= result.fresh > 0
  }
  if (hasGoneOn) tally.goneOn += 1
}

const killMachine = async (machine, seeds) => {
  journal.note(`process ${machine.name} is killed`)
  machine.isListed = false
  await machine.kill()
  await pause(1_000)
  machine.start(seeds)
  await machine.ready(15_000)
  machine.isListed = true
  journal.note(`process ${machine.name} is ready again`)
}

const configure = (version, targets) => store.put('op/config', {
  version,
  routes: [{
    name: 'r-query',
    hostname: 'ficu95.example',
    pathPrefix: '/draft/',
    type: 'streaming',
    timeoutMs: deadlineMilliseconds,
    targetLatencyMs: 600,
    priority: 0,
    ...targets.length === 1 ? { service: targets[0] } : { trafficSplit: targets.map((service) => ({ service, weight: 1 })) },
    maxAttempts: 2,
    public: false,
    sessionAffinity: true,
    resumable: true,
    gapTargetMs: 400,
    homeRegions: []
  }],
  services: targets.map((name) => ({ name, healthPath: '/health', maxConnections: 370, coldStartS: 0, coldPerS: 0, engine: { slots: 64, kvTokens: 333_465 } })),
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'huka270', apiKeys: ['i9n73hh2b9wu3fexd9dn'], priority: 1, unit: 'tokens', plainTokens: 200, ratePerS: 0, burst: 0, homeRegions: [] }]
})

// What was started ends with the script, also if that is stopped.
process.once('exit', () => machines.forEach(({ child }) => child?.kill('SIGKILL')))
for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => process.exit(2))

let code = 2
try {
  await store.start()
  configure(1, ['redattore'])
  for (let count = 0; count < runnerCount; count += 1) await startRunner('v1')
  if (hasSplit) for (let count = 0; count < 2; count += 1) await startRunner('v1', 'redattore-2')
  for (let number = 1; number <= 3; number += 1) machines.push(new Machine({ name: `edge-monza-a-${number}`, region: 'lombardia', zone: 'monza-a', zones, folder, storePort: store.port, delayMilliseconds: 0, journal }))
  for (const machine of machines) await machine.prepare()
  const seeds = machines.map(({ linkAddress }) => linkAddress)
  for (const machine of machines) machine.start(seeds)
  for (const machine of machines) {
    await machine.ready(15_000)
    machine.isListed = true
  }
  const asked = []
  const timers = machines.map((machine) => setInterval(() => { if (machine.isListed) asked.push(ask(machine)) }, 1_000 / streamsPerSecondAndMachine))
  await pause(settledSeconds * 1_000)
  const released = hasRelease ? release() : Promise.resolve()
  if (hasSplit) {
    journal.note('the operator splits the route')
    configure(2, ['redattore', 'redattore-2'])
  }
  await pause(killAfterSeconds * 1_000)
  if (hasKill) await killMachine(machines[0], seeds)
  await released
  await pause(deadlineMilliseconds)
  timers.forEach((timer) => clearInterval(timer))
  await Promise.all(asked)
  const newShare = tally.fresh / tally.begun
  const share = tally.goneOn / tally.takenUp
  journal.note(`clients sent ${tally.begun} new streams, ${tally.fresh} began; ${tally.takenUp} were taken up, ${tally.goneOn} went on; least share ${(newShare * leastShare).toFixed(2)}, seen ${share.toFixed(2)}`)
  // Without a kill, no stream has to be taken up, and all are to begin.
  if (hasKill) code = tally.takenUp < leastTakenUp ? 2 : share < newShare * leastShare ? 1 : 0
  else code = tally.begun > 100 && newShare > 0.95 ? 0 : 2
} catch (error) {
  journal.note(`the case could not run: ${error.stack}`)
} finally {
  journal.note(`exit ${code}`)
  journal.write(process.env.RECORD ?? fileURLToPath(new URL('record.txt', import.meta.url)))
  for (const machine of machines) await machine.stop()
  for (const runner of runners) runner.stop()
  store.stop()
  if (process.env.KEEP_LOGS !== undefined) for (const { name, log } of machines) process.stdout.write(`== ${name}\n${Buffer.concat(log ?? []).toString()}`)
  rmSync(folder, { recursive: true, force: true })
}
// An error of the script itself ends it with 1, which is not to be taken for a broken rule.
process.exit(code === 1 ? brokenExitCode : code)
