/**
 * Half of the machines are killed at the same moment, while all runners go on.
 * Callers whose streams break take them up at other machines, naming the attempt
 * that began them. The service has had one software version all the time.
 */

import { fileURLToPath } from 'node:url'
import { Fleet, runCase } from '../support/fleet.mjs'
import { Runner } from '../support/runner.mjs'
import { pause } from '../support/ports.mjs'
import { newId, newRequest, plainAnswer, send, streamEvents, summary } from '../support/traffic.mjs'

const isTroubled = process.env.TROUBLE !== '0'
const zones = { 'monza-a': 'lombardia', 'padova-a': 'veneto', 'bologna-a': 'emilia' }
const eventCount = 12
const eventIntervalMilliseconds = 200
const deadlineMilliseconds = 4_000
const callsPerSecond = 5
const calmMilliseconds = 30_000
const downMilliseconds = 2_000
/** Time after the last kill in which new streams are compared. */
const comparedMilliseconds = 2_000
const leastTakenUp = 12

const fleet = new Fleet({ zones, recordPath: fileURLToPath(new URL('record.txt', import.meta.url)) })
const eventsOf = ({ status, body }) => status === 200 ? body.toString('latin1').match(/^id: \d+\ndata: .*(?=\n\n)/gm) ?? [] : []

/** The machines of the caller's region that its directory may name, or any others if there are none. */
const otherMachine = (machine) => {
  const running = fleet.machines.filter((other) => other !== machine && other.isRunning && !other.isStarting)
  const near = running.filter(({ zone }) => zone === machine.zone)
  const choices = near.length > 0 ? near : running
  return choices[Math.floor(Math.random() * choices.length)]
}

/** A client that takes a stream up once, at another machine, if its connection breaks after events. */
const readStream = async (machine) => {
  const request = newRequest('query')
  const { id } = request
  const sentAt = performance.now()
  const first = await send('query', machine, { ...request, deadlineMilliseconds })
  const events = eventsOf(first)
  fleet.record(summary({ kind: 'query', machine: machine.name, ...first }))
  const read = { id, machine, sentAt, ...first, count: events.length }
  const isBroken = first.ending !== 'answer' && events.length > 0 && events.length < eventCount
  if (!isBroken) return read
  const other = otherMachine(machine)
  const takenUpAt = performance.now()
  const resumed = await send('query', other, { ...request, id: newId('again'), deadlineMilliseconds: Math.max(500, deadlineMilliseconds - first.milliseconds), headers: [...request.headers, `Last-Event-Id: ${events.length}`, `Resumes: ${id}`] })
  const goesOn = resumed.status === 200 && eventsOf(resumed).length > 0
  fleet.record({ ...summary({ kind: 'query', machine: other.name, ...resumed }), resumes: id, goesOn, detail: resumed.status === 200 ? undefined : resumed.body.toString().trim() })
  return { ...read, takenUp: { machine: other, at: takenUpAt, goesOn } }
}

await runCase(fleet, async () => {
  const handle = async (request, socket) => await streamEvents(request, socket, { count: eventCount, intervalMilliseconds: eventIntervalMilliseconds })
  const drafting = { service: 'drafting', slots: 64, handle }
  const runners = [['monza-a', 4], ['padova-a', 2], ['bologna-a', 2]].flatMap(([zone, count]) => Array.from({ length: count }, (_, number) => new Runner({ id: `i-${zone}-${number}`, zone, ...drafting })))
  const machines = [['monza-a', 3], ['padova-a', 3], ['bologna-a', 2]].flatMap(([zone, count]) => Array.from({ length: count }, (_, number) => ({ name: `edge-${zone}-${number + 1}`, zone })))
  await fleet.start({ machines, runners: [...runners, new Runner({ id: 'i-order-1', service: 'orders', slots: 6, zone: 'monza-a', handle: plainAnswer })] })
  const reads = []
  const timers = fleet.machines.map((machine) => setInterval(() => { if (machine.isRunning && !machine.isStarting) reads.push(readStream(machine)) }, 1_000 / callsPerSecond))
  await pause(calmMilliseconds)
  const killed = fleet.machines.filter((_, index) => [0, 1, 3, 6].includes(index))
  const killedAt = performance.now()
  if (isTroubled) {
    for (const machine of killed) {
      machine.isStarting = true
      machine.signal('SIGKILL')
    }
    await pause(downMilliseconds)
    for (const machine of killed) machine.start()
  }
  await pause(6_000)
  timers.forEach((timer) => clearInterval(timer))
  const streams = await Promise.all(reads)

  const takenUp = streams.filter((read) => read.takenUp !== undefined && !killed.includes(read.takenUp.machine))
  const goOn = takenUp.filter((read) => read.takenUp.goesOn)
  const begun = streams.filter(({ machine, sentAt }) => !killed.includes(machine) && sentAt > killedAt && sentAt < killedAt + comparedMilliseconds)
  const begin = begun.filter(({ count }) => count > 0)
  const share = (part, all) => all.length === 0 ? undefined : part.length / all.length
  fleet.record({ what: 'verdict', rule: 'LOST', takenUp: takenUp.length, goOn: goOn.length, newStreams: begun.length, begin: begin.length })
  return takenUp.length >= leastTakenUp && share(goOn, takenUp) < share(begin, begun) / 2
})
