/**
 * A runner in trouble sends, in a few of its streams, bytes that are no events:
 * blank lines and a word now and then, without end. Callers, which choose machines
 * by the directory, go on sending sound orders to sound runners of another service.
 */

import { fileURLToPath } from 'node:url'
import { Fleet, runCase } from '../support/fleet.mjs'
import { Runner, answerHead, chunk } from '../support/runner.mjs'
import { pause } from '../support/ports.mjs'
import { Client } from '../support/directory.mjs'
import { soundAnswer, summary } from '../support/traffic.mjs'

const isTroubled = process.env.TROUBLE !== '0'
const zones = { 'monza-a': 'lombardia', 'padova-a': 'veneto' }
const orderTimeoutMilliseconds = 3_000
const orderDeadlineMilliseconds = 5_000
const streamGapMilliseconds = 3_200
const callIntervalMilliseconds = 216
const graceMilliseconds = 500
/** One of so many answers of the runner in trouble is spoiled. */
const answersPerSpoiled = 50
const spoiledBytes = `${'\r\n'.repeat(40)}overloaded\r\n\r\n`

const fleet = new Fleet({ zones, recordPath: fileURLToPath(new URL('record.txt', import.meta.url)) })

let answers = 0
let inTrouble = false
const spoilingAnswer = async (request, socket, runner) => {
  answers += 1
  if (!inTrouble || answers % answersPerSpoiled !== 0) return await soundAnswer(request, socket)
  fleet.record({ what: 'spoiled', runner: runner.id, id: request.id })
  socket.write(answerHead(request, { headers: ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked'] }))
  while (!socket.destroyed) {
    socket.write(chunk(spoiledBytes))
    await pause(20)
  }
}

await runCase(fleet, async () => {
  const drafting = { service: 'drafting', slots: 64, handle: soundAnswer }
  const orders = { service: 'orders', slots: 6, handle: soundAnswer }
  await fleet.start({
    machines: [{ name: 'edge-monza-1', zone: 'monza-a' }, { name: 'edge-monza-2', zone: 'monza-a' }, { name: 'edge-monza-3', zone: 'monza-a' }, { name: 'edge-padova-1', zone: 'padova-a' }],
    runners: [
      new Runner({ id: 'i-draft-1', zone: 'monza-a', ...drafting, handle: spoilingAnswer }),
      new Runner({ id: 'i-draft-2', zone: 'monza-a', ...drafting }),
      new Runner({ id: 'i-draft-3', zone: 'monza-a', ...drafting }),
      new Runner({ id: 'i-draft-4', zone: 'padova-a', ...drafting }),
      new Runner({ id: 'i-order-1', zone: 'monza-a', ...orders }),
      new Runner({ id: 'i-order-2', zone: 'monza-a', ...orders }),
      new Runner({ id: 'i-order-3', zone: 'padova-a', ...orders })
    ]
  })
  // A third of the clients keep what the directory says for three times as long.
  const clients = ['monza-a', 'monza-a', 'monza-a', 'padova-a'].flatMap((zone) => [1, 1, 3].map((keepsFactor) => new Client(fleet, zone, { keepsFactor })))
  const calls = []
  const send = (client, kind, options) => calls.push(client.send(kind, options).then((result) => {
    if (result !== undefined) fleet.record(summary(result))
    return result
  }))
  const timers = clients.map((client) => setInterval(() => {
    send(client, 'order', { deadlineMilliseconds: orderDeadlineMilliseconds })
    // Clients abandon a stream after a gap of eight times the longest pause.
    send(client, 'query', { deadlineMilliseconds: 4_000, patienceMilliseconds: streamGapMilliseconds })
  }, callIntervalMilliseconds))
  await pause(3_000)
  inTrouble = isTroubled
  await pause(5_500)
  inTrouble = false
  await pause(4_000)
  timers.forEach((timer) => clearInterval(timer))
  const ended = (await Promise.all(calls)).filter((result) => result?.kind === 'order')
  for (const machine of fleet.machines) fleet.record({ what: 'readiness', machine: machine.name, status: await machine.readiness() })

  const late = ended.filter(({ milliseconds }) => milliseconds >= orderTimeoutMilliseconds)
  const unanswered = late.filter(({ milliseconds, ending }) => ending !== 'answer' || milliseconds > orderTimeoutMilliseconds + graceMilliseconds)
  fleet.record({ what: 'verdict', rule: 'CONFIG', orders: ended.length, answered: ended.length - late.length, unansweredAtTimeout: late.length, withoutAnswerHalfASecondLater: unanswered.length })
  return unanswered.length >= 8 && unanswered.length * 2 > late.length
})
