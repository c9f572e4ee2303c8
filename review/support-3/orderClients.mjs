/**
 * Ordinary clients that send one request after the other on kept connections, and
 * count those that a sound runner has run and whose connection was closed
 * without an answer (RULES.md, LOST).
 */

import { Agent, request as httpRequest } from 'node:http'
import { newAttempt, sleep } from './deployment.mjs'

/** "More than three times" breaks the rule. */
export const lostAtMost = 3
/** So that clients don't keep step. */
const beginMilliseconds = 23

const cutInAnswer = 'cut in the answer'

export class OrderClients {
  asked = 0
  answered = 0
  lost = 0
  /** Attempts that a runner has run, told by the case. */
  ran = new Set()
  clients = []
  isOver = false

  constructor ({ path, headers, record }) {
    Object.assign(this, { path, headers, record })
  }

  start (machine, count) {
    for (let index = 0; index < count; index += 1) this.clients.push(this.run(machine, index * beginMilliseconds))
  }

  async stop () {
    this.isOver = true
    await Promise.race([Promise.all(this.clients), sleep(6_000)])
  }

  async run (machine, delayMilliseconds) {
    await sleep(delayMilliseconds)
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    while (!this.isOver) {
      const attempt = newAttempt()
      // One that was started again isn't in touch for a time.
      const isFirstStart = machine.starts === 1
      const { isKept, outcome } = await this.call({ machine, agent, attempt })
      this.asked += 1
      if (outcome === '200') {
        this.answered += 1
        continue
      }
      const hasRun = this.ran.has(attempt)
      const isLost = isFirstStart && isKept && hasRun && outcome !== cutInAnswer && !/^\d+$/.test(outcome)
      if (isLost) this.lost += 1
      this.record.write(`request ${attempt} to ${machine.name} on a ${isKept ? 'kept' : 'new'} connection: ${outcome}${hasRun ? '; a runner has run it' : ''}${isLost ? ' LOST' : ''}`)
      await sleep(500)
    }
    agent.destroy()
  }

  async call ({ machine, agent, attempt }) {
    return await new Promise((resolve) => {
      const finish = (outcome) => resolve({ isKept: request.reusedSocket, outcome })
      const request = httpRequest({ host: machine.ip, port: machine.front, path: this.path, method: 'POST', agent, headers: { ...this.headers, 'request-attempt-id': attempt } }, (response) => {
        response.resume()
        response.on('end', () => finish(String(response.statusCode)))
        response.on('error', () => finish(cutInAnswer))
      })
      request.on('error', ({ message }) => finish(message))
      request.end('hello')
    })
  }
}
