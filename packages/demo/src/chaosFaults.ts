/**
 * Faults for a fleet of processes: kills, suspensions, platform outages, upstream
 * crashes and edits by operators. Each but the plan edit reverts what it did.
 */

import type { SeededRandom } from '@cuminvale/common'
import { keysDocument } from './deployments.js'
import type { DemoFleet } from './demoFleet.js'

export interface ChaosFault {
  readonly name: string
  readonly inject: (fleet: DemoFleet, random: SeededRandom) => Promise<void>
}

const pause = async (milliseconds: number): Promise<void> => {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}

const randomBetween = (random: SeededRandom, minimum: number, maximum: number): number =>
  minimum + (maximum - minimum) * random.next()

const pickIndex = (random: SeededRandom, length: number): number => Math.floor(random.next() * length)

const endProcess = async (fleet: DemoFleet, index: number, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> => {
  const child = fleet.daemons[index]?.process
  if (child === undefined || child.exitCode !== null || child.signalCode !== null) return
  const exited = new Promise((resolve) => child.once('exit', resolve))
  child.kill(signal)
  await exited
}

const faultyVmIndexes = new Set<number>()

/** Injects a fault into a random VM unless it has one already, so that no process is started twice. */
const withRandomVm = async (
  fleet: DemoFleet,
  random: SeededRandom,
  inject: (index: number) => Promise<void>
): Promise<void> => {
  const index = pickIndex(random, fleet.daemons.length)
  if (faultyVmIndexes.has(index)) return
  faultyVmIndexes.add(index)
  await inject(index)
  faultyVmIndexes.delete(index)
}

const killVm: ChaosFault = {
  name: 'VM killed and restarted',
  inject: async (fleet, random) => await withRandomVm(fleet, random, async (index) => {
    await endProcess(fleet, index, 'SIGKILL')
    await pause(randomBetween(random, 200, 3_000))
    fleet.restart(index)
  })
}

const suspendVm: ChaosFault = {
  name: 'VM frozen and woken',
  inject: async (fleet, random) => await withRandomVm(fleet, random, async (index) => {
    fleet.daemons[index]?.process.kill('SIGSTOP')
    await pause(randomBetween(random, 300, 4_000))
    fleet.daemons[index]?.process.kill('SIGCONT')
  })
}

const replaceVm: ChaosFault = {
  name: 'VM shut down in order and replaced',
  inject: async (fleet, random) => await withRandomVm(fleet, random, async (index) => {
    await endProcess(fleet, index, 'SIGTERM')
    fleet.restart(index)
  })
}

const configurationOutage: ChaosFault = {
  name: 'configuration service down',
  inject: async (fleet, random) => {
    fleet.platform.configuration.setDown(true)
    await pause(randomBetween(random, 500, 4_000))
    fleet.platform.configuration.setDown(false)
  }
}

const killUpstream: ChaosFault = {
  name: 'upstream killed and restarted',
  inject: async (fleet, random) => {
    const upstreams = [...fleet.platform.engines.values(), ...fleet.platform.services.values()]
    const server = upstreams[pickIndex(random, upstreams.length)]?.server
    if (server === undefined) return
    const port = Number(new URL(server.address).port)
    await server.stop()
    await pause(randomBetween(random, 300, 3_000))
    await server.start(port)
  }
}

const editPlan: ChaosFault = {
  name: 'plan edited',
  inject: async (fleet, random) => {
    const burst = Math.round(randomBetween(random, 10_000, 20_000))
    const plans = fleet.platform.configuration.text('plans').replace(/"burstTokens": 1\d{4}\b/, `"burstTokens": ${burst}`)
    fleet.platform.configuration.publish({ plans })
    await pause(0)
  }
}

const withdrawKey: ChaosFault = {
  name: 'key withdrawn and given again',
  inject: async (fleet, random) => {
    const { configuration, keys } = fleet.platform
    const withdrawn = pickIndex(random, keys.length)
    configuration.publish({ keys: keysDocument(keys.filter((_, index) => index !== withdrawn)) })
    await pause(randomBetween(random, 500, 2_000))
    configuration.publish({ keys: keysDocument(keys) })
  }
}

export const chaosFaults: readonly ChaosFault[] = [
  killVm, suspendVm, replaceVm, configurationOutage, killUpstream, editPlan, withdrawKey
]
