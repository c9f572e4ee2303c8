/**
 * Stand-in of a client that asks the system where to connect, keeps the answer for
 * the time that it names, or three times that, and excludes what has failed it.
 */

import { get } from 'node:http'
import { host } from './ports.mjs'
import { hostName } from './fleet.mjs'
import { send } from './traffic.mjs'

const directoryTimeoutMilliseconds = 1_000
const maximumDirectories = 3

const ask = async (port, zone, region) => await new Promise((resolve) => {
  const request = get({ host, port, path: `/v1/resolve?name=${hostName}&region=${region}&zone=${zone}`, timeout: directoryTimeoutMilliseconds, agent: false }, (response) => {
    let text = ''
    response.on('data', (bytes) => { text += bytes })
    response.on('end', () => resolve(response.statusCode === 200 ? JSON.parse(text) : undefined))
  })
  request.on('timeout', () => request.destroy())
  request.on('error', () => resolve(undefined))
})

export class Client {
  ports = []
  validUntil = -Infinity
  failed = new Set()

  constructor (fleet, zone, { keepsFactor = 1 } = {}) {
    Object.assign(this, { fleet, zone, keepsFactor })
  }

  async machine () {
    if (performance.now() >= this.validUntil) await (this.resolving ??= this.resolve().finally(() => { this.resolving = undefined }))
    const open = this.ports.filter((port) => !this.failed.has(port))
    const choices = open.length > 0 ? open : this.ports
    const port = choices[Math.floor(Math.random() * choices.length)]
    return this.fleet.machines.find(({ ports }) => ports.front === port)
  }

  /** Asks up to three machines, nearest first; keeps the list that it has if none answers. */
  async resolve () {
    const { fleet, zone } = this
    const shuffled = fleet.machines.map((machine) => [machine.zone === zone ? 0 : 1, Math.random(), machine]).sort((first, second) => first[0] - second[0] || first[1] - second[1])
    for (const [, , { ports }] of shuffled.slice(0, maximumDirectories)) {
      const answer = await ask(ports.directory, zone, fleet.zones[zone])
      if (!Array.isArray(answer?.addresses)) continue
      this.ports = answer.addresses.map((address) => Number(address.split(':')[1]))
      this.validUntil = performance.now() + answer.ttlS * 1_000 * this.keepsFactor
      return
    }
  }

  async send (kind, options) {
    const machine = await this.machine()
    if (machine === undefined) return undefined
    const result = { kind, machine: machine.name, ...await send(kind, machine, options) }
    if (result.ending !== 'answer') this.failed.add(machine.ports.front)
    return result
  }
}
