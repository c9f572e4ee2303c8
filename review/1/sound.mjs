/**
 * The same fault with sound runners only: a machine stands still for 2.6 seconds
 * while a stream that ends with its connection waits for its first event behind
 * comments that keep it alive. Its lines end in CRLF. When the machine goes on, it
 * reads them at once. Run as `node review/1/sound.mjs`; TROUBLE=0 as in run.sh.
 */

import { fileURLToPath } from 'node:url'
import { Fleet, runCase } from '../support/fleet.mjs'
import { Runner, answerHead } from '../support/runner.mjs'
import { pause } from '../support/ports.mjs'
import { plainAnswer, send, summary } from '../support/traffic.mjs'

const isTroubled = process.env.TROUBLE !== '0'
const zones = { 'monza-a': 'lombardia', 'padova-a': 'veneto' }
const commentCount = 18
const commentIntervalMilliseconds = 100
const eventCount = 6
const eventIntervalMilliseconds = 50
const standstillMilliseconds = 2_600
const contactMilliseconds = 5_000
const questions = 10
const questionIntervalMilliseconds = 1_000
const shutdownGraceMilliseconds = 8_000
/** Clients abandon a stream after a gap of eight times the longest pause. */
const streamGapMilliseconds = 3_200

const fleet = new Fleet({ zones, recordPath: fileURLToPath(new URL('record-sound.txt', import.meta.url)) })

const streamAnswer = async (request, socket) => {
  socket.write(answerHead(request, { headers: ['Content-Type: text/event-stream', 'Connection: close'] }))
  for (let number = 0; number < commentCount && !socket.destroyed; number += 1) {
    await pause(commentIntervalMilliseconds)
    socket.write(': waiting\r\n\r\n')
  }
  for (let number = 1; number <= eventCount && !socket.destroyed; number += 1) {
    socket.write(`id: ${number}\r\ndata: ${request.id} ${number}\r\n\r\n`)
    await pause(eventIntervalMilliseconds)
  }
  socket.end()
}

await runCase(fleet, async () => {
  const drafting = { service: 'drafting', slots: 64, handle: streamAnswer }
  const orders = { service: 'orders', slots: 30, handle: plainAnswer }
  const places = Object.keys(zones)
  await fleet.start({
    machines: places.flatMap((zone) => [1, 2, 3, 4, 5].map((number) => ({ name: `edge-${zone}-${number}`, zone }))),
    runners: places.flatMap((zone) => [
      ...[1, 2].map((number) => new Runner({ id: `i-draft-${zone}-${number}`, zone, ...drafting })),
      ...[1, 2].map((number) => new Runner({ id: `i-order-${zone}-${number}`, zone, ...orders }))
    ])
  })
  // One machine of ten.
  const [machine] = fleet.machines
  const options = { deadlineMilliseconds: 4_000, patienceMilliseconds: streamGapMilliseconds }
  const streams = [send('query', machine, options), send('query', machine, options)]
  await pause(300)
  if (isTroubled) machine.signal('SIGSTOP')
  await pause(standstillMilliseconds)
  if (isTroubled) machine.signal('SIGCONT')
  await pause(contactMilliseconds + 1_000)
  for (const result of await Promise.all(streams)) fleet.record(summary({ kind: 'query', machine: machine.name, ...result }))
  // The platform asks each machine once a second, and then stops this one.
  let unanswered = 0
  for (let question = 0; question < questions; question += 1) {
    const status = await machine.readiness()
    fleet.record({ what: 'readiness', machine: machine.name, status })
    if (status !== 200) unanswered += 1
    await pause(questionIntervalMilliseconds)
  }
  machine.signal('SIGTERM')
  const killAt = performance.now() + shutdownGraceMilliseconds
  while (machine.isRunning && performance.now() < killAt) await pause(50)
  const hasEnded = !machine.isRunning
  fleet.record({ what: 'verdict', rule: 'Fault', questions, unanswered, endedWithinGrace: hasEnded })
  return unanswered === questions && !hasEnded
})
