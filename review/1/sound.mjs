/**
 * The same fault with sound runners only: a machine stands still for three seconds
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
const commentCount = 25
const commentIntervalMilliseconds = 100
const eventCount = 6
const eventIntervalMilliseconds = 50
const standstillMilliseconds = 3_000
const contactMilliseconds = 5_000
const orderTimeoutMilliseconds = 3_000
const graceMilliseconds = 500
const ordersPerMachine = 10

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
  const streams = [send('query', machine), send('query', machine)]
  await pause(300)
  if (isTroubled) machine.signal('SIGSTOP')
  await pause(standstillMilliseconds)
  if (isTroubled) machine.signal('SIGCONT')
  await pause(contactMilliseconds + 1_000)
  const ended = await Promise.all(fleet.machines.flatMap((each) => Array.from({ length: ordersPerMachine }, async () => ({ kind: 'order', machine: each.name, ...await send('order', each) }))))
  for (const result of [...ended, ...(await Promise.all(streams)).map((result) => ({ kind: 'query', machine: machine.name, ...result }))]) fleet.record(summary(result))
  const late = ended.filter(({ milliseconds }) => milliseconds >= orderTimeoutMilliseconds)
  const unanswered = late.filter(({ milliseconds, ending }) => ending !== 'answer' || milliseconds > orderTimeoutMilliseconds + graceMilliseconds)
  fleet.record({ what: 'verdict', rule: 'CONFIG', orders: ended.length, unansweredAtTimeout: late.length, withoutAnswerHalfASecondLater: unanswered.length, readiness: await machine.readiness() })
  return unanswered.length >= 8 && unanswered.length * 2 > late.length
})
