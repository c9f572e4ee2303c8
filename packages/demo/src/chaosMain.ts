/**
 * `npm run chaos -- --seed N --seconds S [--deployment NAME]`: runs eight
 * daemon processes under load, with two faults at a time. Exit code 1 on any
 * violation. The seed decides the faults; their timing depends on the machine.
 */

import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { Outcome, SeededRandom, millisecondsPerSecond, pickOne } from '@cuminvale/common'
import { chaosViolations, violationsInLogs } from './chaosChecks.js'
import { chaosFaults } from './chaosFaults.js'
import { ChaosLoad, RequestKind } from './chaosLoad.js'
import { cooperativa, deployments } from './deployments.js'
import { DemoFleet } from './demoFleet.js'
import { writeSecrets } from './writeSecrets.js'

const clientsPerTeam = 4
const faultsAtOnce = 2
const settleMilliseconds = 3_000
const warmUpMilliseconds = 2_000

const print = (text: string): void => {
  process.stdout.write(text + '\n')
}

const pause = async (milliseconds: number): Promise<void> => {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}

/** Injects one fault after another until the given time; two such loops make the faults overlap. */
const injectFaults = async (fleet: DemoFleet, random: SeededRandom, endAt: number): Promise<Map<string, number>> => {
  const injected = new Map<string, number>()
  while (performance.now() < endAt) {
    const fault = pickOne(chaosFaults, random)
    if (fault === undefined) break
    injected.set(fault.name, (injected.get(fault.name) ?? 0) + 1)
    await fault.inject(fleet, random)
    await pause(millisecondsPerSecond * random.next())
  }
  return injected
}

const summarise = (load: ChaosLoad): void => {
  for (const kind of Object.values(RequestKind)) {
    const ofKind = load.sent.filter((sent) => sent.kind === kind)
    const count = (outcome: Outcome, isSuccess = true): number =>
      ofKind.filter((sent) => sent.outcome === outcome && (outcome !== Outcome.Done || (sent.status === 200) === isSuccess)).length
    print(`${kind.padEnd(8)} ${ofKind.length} sent: ${count(Outcome.Done)} done, ${count(Outcome.NotRun)} not run, ` +
      `${count(Outcome.Unknown)} unknown, ${count(Outcome.Done, false)} answered with an error`)
  }
}

const run = async (): Promise<void> => {
  const { values } = parseArgs({
    options: {
      seed: { type: 'string', default: '1' },
      seconds: { type: 'string', default: '20' },
      deployment: { type: 'string', default: cooperativa.name }
    }
  })
  const deployment = deployments.find(({ name }) => name === values.deployment) ?? cooperativa
  const directory = mkdtempSync(join(tmpdir(), 'cuminvale-chaos-'))
  const fleet = await DemoFleet.start({ deployment, directory, secrets: writeSecrets(directory) })
  try {
    await fleet.ready()
    await pause(warmUpMilliseconds)
    const load = new ChaosLoad(fleet)
    const running = load.run(clientsPerTeam)
    const endAt = performance.now() + Number(values.seconds) * millisecondsPerSecond
    const injected = await Promise.all(Array.from({ length: faultsAtOnce }, async (_, index) =>
      await injectFaults(fleet, new SeededRandom(Number(values.seed) * faultsAtOnce + index), endAt)))
    await pause(settleMilliseconds)
    load.stop()
    await running
    await pause(settleMilliseconds)
    summarise(load)
    for (const faults of injected) faults.forEach((count, name) => print(`fault    ${count} x ${name}`))
    const violations = [...chaosViolations(load.sent, fleet.platform), ...violationsInLogs(directory)]
    violations.forEach(({ promise, detail }) => print(`VIOLATION ${promise}: ${detail}`))
    print(`${violations.length} violations, seed ${values.seed}`)
    process.exitCode = violations.length === 0 ? 0 : 1
  } finally {
    await fleet.stop()
    rmSync(directory, { recursive: true, force: true })
  }
}

run().catch((error: unknown) => {
  process.stderr.write(`chaos failed: ${error instanceof Error ? error.message : String(error)}\n`)
  process.exitCode = 1
})
