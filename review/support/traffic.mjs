/**
 * Sound traffic of clients and sound answers of runners, as the cases share them.
 */

import { call } from './caller.mjs'
import { hostName, key } from './fleet.mjs'
import { answerHead, chunk, lastChunk } from './runner.mjs'
import { pause } from './ports.mjs'

export const eventsPerStream = 6
const eventIntervalMilliseconds = 10
const firstEventMilliseconds = 20
const orderMilliseconds = 60

let idCount = 0
export const newId = (kind) => `${kind}-${(idCount += 1).toString(16).padStart(6, '0')}`

/** Writes the events of a stream after the one that the request names. */
export const streamEvents = async (request, socket, { count = eventsPerStream, intervalMilliseconds = eventIntervalMilliseconds } = {}) => {
  const first = Number(request.headers.get('last-event-id') || 0) + 1
  await pause(firstEventMilliseconds)
  socket.write(answerHead(request, { headers: ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked'] }))
  for (let number = first; number <= count; number += 1) {
    if (socket.destroyed) return
    socket.write(chunk(`id: ${number}\ndata: ${request.id} ${number}\n\n`))
    await pause(intervalMilliseconds)
  }
  socket.write(lastChunk)
}

export const plainAnswer = async (request, socket) => {
  await pause(orderMilliseconds)
  const text = `done ${request.id}`
  socket.write(`${answerHead(request, { headers: [`Content-Length: ${text.length}`] })}${text}`)
}

/** Answers any request soundly. */
export const soundAnswer = async (request, socket) => {
  await (/^\/(query|draft)\//.test(request.path) ? streamEvents(request, socket) : plainAnswer(request, socket))
}

const promptBytes = 770

/** A request of a kind, which is the first part of its path. */
export const newRequest = (kind) => {
  const isStream = kind === 'query' || kind === 'draft'
  const tokens = isStream ? ['Model: m', 'Token-Count: 383,48', `Prompt-Prefix: 5c1e07a2:92,${newId('a').slice(2)}:291`] : []
  return {
    method: kind === 'status' ? 'GET' : 'POST', path: `/${kind}/${newId('p')}`, name: hostName, key, id: newId(kind), headers: tokens, deadlineMilliseconds: 5_000, body: kind === 'status' ? undefined : Buffer.alloc(isStream ? promptBytes : 600, 'x')
  }
}

/** Sends one request of a kind to a machine, on a connection of its own. */
export const send = async (kind, { ports }, options = {}) => await call({ port: ports.front, ...newRequest(kind), ...options })

/** Sends requests of a kind to each of the machines at a rate until it is stopped; resolves with all that became of them. */
export const stream = (kind, machines, perSecond, { onEnded, options } = {}) => {
  const calls = []
  const timers = machines.map((machine) => setInterval(() => {
    const ended = send(kind, machine, options).then((result) => {
      const known = { kind, machine: machine.name, ...result }
      onEnded?.(known)
      return known
    })
    calls.push(ended)
  }, 1_000 / perSecond))
  return async () => {
    timers.forEach((timer) => clearInterval(timer))
    return await Promise.all(calls)
  }
}

/** What is written to the record of a request that has ended. */
export const summary = ({ kind, machine, id, status, ending, isWhole, milliseconds }) => ({ what: 'request', kind, machine, id, status, ending, isWhole, after: milliseconds })
