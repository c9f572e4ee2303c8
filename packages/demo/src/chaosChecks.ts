/**
 * Checks after a chaos run, based on what the upstreams received and what the
 * callers were answered.
 */

import { readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
import { Outcome } from '@cuminvale/common'
import { RequestKind } from './chaosLoad.js'
import type { SentRequest } from './chaosLoad.js'
import type { FakePlatform } from './fakePlatform.js'

export interface ChaosViolation {
  readonly promise: string
  readonly detail: string
}

/** Number of runs of each order, by the id in its body. */
const countRuns = (platform: FakePlatform): ReadonlyMap<string, number> => {
  const runs = new Map<string, number>()
  for (const { body } of [...platform.services.values()].flatMap(({ calls }) => calls)) {
    const id = /"id":"([^"]+)"/.exec(body)?.[1]
    if (id !== undefined) runs.set(id, (runs.get(id) ?? 0) + 1)
  }
  return runs
}

const orderViolations = (sent: readonly SentRequest[], runs: ReadonlyMap<string, number>): ChaosViolation[] => {
  const orders = sent.filter(({ kind }) => kind === RequestKind.Order)
  const ranRepeatedly = [...runs].filter(([, count]) => count > 1)
  const ranDespiteRefusal = orders.filter(({ id, outcome }) => outcome === Outcome.NotRun && (runs.get(id) ?? 0) > 0)
  const notRunOnceDespiteSuccess = orders.filter(({ id, outcome, status }) => outcome === Outcome.Done && status === 200 && runs.get(id) !== 1)
  return [
    ...ranRepeatedly.map(([id, count]) => ({ promise: 'an order runs at most once', detail: `${id} ran ${count} times` })),
    ...ranDespiteRefusal.map(({ id }) => ({ promise: 'a refusal saying "not run" is true', detail: `${id} ran` })),
    ...notRunOnceDespiteSuccess.map(({ id }) => ({ promise: 'a done order ran', detail: `${id} ran ${runs.get(id) ?? 0} times` }))
  ]
}

const keyViolations = (platform: FakePlatform): ChaosViolation[] => {
  const headers = [
    ...[...platform.engines.values()].flatMap(({ headersSeen }) => headersSeen),
    ...[...platform.services.values()].flatMap(({ calls }) => calls.map((call) => call.headers))
  ]
  return headers
    .filter((seen) => JSON.stringify(seen).includes('cmv_'))
    .map(() => ({ promise: 'no upstream sees a key', detail: 'an upstream received a key' }))
}

const answerViolations = (sent: readonly SentRequest[]): ChaosViolation[] => sent
  .filter(({ isExpected }) => !isExpected)
  .map(({ id, kind, outcome }) => ({ promise: 'every caller receives its own whole answer', detail: `${kind} ${id} ended ${outcome}` }))

export const chaosViolations = (sent: readonly SentRequest[], platform: FakePlatform): readonly ChaosViolation[] => [
  ...orderViolations(sent, countRuns(platform)),
  ...keyViolations(platform),
  ...answerViolations(sent)
]

/** Invariant violations that the daemons logged. */
export const violationsInLogs = (directory: string): readonly ChaosViolation[] => readdirSync(directory)
  .filter((file) => file.endsWith('.log'))
  .flatMap((file) => readFileSync(join(directory, file), 'utf8').split('\n'))
  .filter((line) => line.includes('"event":"invariant-violated"'))
  .map((line) => ({ promise: 'an invariant inside the program', detail: line }))
