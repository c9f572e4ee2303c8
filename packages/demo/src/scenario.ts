/**
 * The steps of the demo: requests, edits and a killed VM, each printed with its
 * result.
 */

import { request } from 'undici'
import { Outcome, headerNames } from '@cuminvale/common'
import { Client } from '@cuminvale/caller'
import { keysDocument } from './deployments.js'
import { waitFor } from './waitFor.js'
import type { CallAnswer, CallError } from '@cuminvale/caller'
import type { Result } from 'true-myth'
import type { VmId } from '@cuminvale/common'
import type { DemoFleet } from './demoFleet.js'

type Answer = Result<CallAnswer, CallError>

const effectTimeoutMilliseconds = 5_000

class Report {
  private failures = 0

  line (label: string, detail: string): void {
    process.stdout.write(`${label.padEnd(34)} ${detail}\n`)
  }

  expect (label: string, holds: boolean, detail: string): void {
    if (!holds) this.failures += 1
    this.line(label, `${holds ? 'ok' : 'FAILED'}  ${detail}`)
  }

  get exitCode (): number {
    return this.failures === 0 ? 0 : 1
  }
}

const describe = (answer: Answer): string => answer.isOk
  ? `${answer.value.status} ${answer.value.outcome}, by ${answer.value.vm} on ${answer.value.upstream || 'no upstream'}, ${answer.value.attempts} attempt(s)`
  : `${answer.error.outcome}: ${answer.error.message}`

const isDone = (answer: Answer): boolean =>
  answer.isOk && answer.value.status === 200 && answer.value.outcome === Outcome.Done

const clientFor = (fleet: DemoFleet, index: number): Client => {
  const key = fleet.platform.keys[index]?.key ?? ''
  return new Client({ seeds: fleet.callerAddresses(), key })
}

const sendAll = async (fleet: DemoFleet, client: Client, report: Report, when: string): Promise<void> => {
  const { routes, model } = fleet.options.deployment
  const streamed = await client.call({
    path: '/v1/completions', route: routes.streamed, body: { model, prompt: 'Describe a cloth-bound diary.', stream: true, max_tokens: 24 }
  })
  const isWhole = streamed.isOk && streamed.value.body.trimEnd().endsWith('data: [DONE]')
  report.expect(`${when}: ${routes.streamed} (streamed)`, isDone(streamed) && isWhole, describe(streamed))
  const counter = await client.call({
    path: '/v1/chat/completions', route: routes.counter, body: { model, messages: [{ role: 'user', content: 'Is it in stock?' }], max_tokens: 8 }
  })
  report.expect(`${when}: ${routes.counter}`, isDone(counter), describe(counter))
  const order = await client.order({ path: `/v1/services/${routes.order}/place`, body: { item: 'diary', when } })
  report.expect(`${when}: ${routes.order} (once)`, isDone(order) && countRuns(fleet, when) === 1, describe(order))
  const status = await client.call({ path: `/v1/services/${routes.status}/last`, method: 'GET' })
  report.expect(`${when}: ${routes.status}`, isDone(status), describe(status))
}

/** How often the order services ran the order of a step. */
const countRuns = (fleet: DemoFleet, when: string): number =>
  [...fleet.platform.services.values()].flatMap(({ calls }) => calls)
    .filter(({ body }) => body.includes(`"when":"${when}"`)).length

const editPlan = async (fleet: DemoFleet, report: Report): Promise<void> => {
  const plans = fleet.platform.configuration.text('plans').replace('"rateTokensPerSecond": 5000', '"rateTokensPerSecond": 6000')
  const revision = fleet.platform.configuration.publish({ plans })
  const elapsedMilliseconds = await fleet.waitForRevision(revision)
  report.expect('plan "small" edited', true, `revision ${revision} in force on all VMs after ${Math.round(elapsedMilliseconds)} ms`)
}

const breakPlan = async (fleet: DemoFleet, report: Report): Promise<void> => {
  const validPlans = fleet.platform.configuration.text('plans')
  fleet.platform.configuration.publish({ plans: validPlans.replace('"weight": 4', '"weigth": 4') })
  const correctedRevision = fleet.platform.configuration.publish({ plans: validPlans })
  await fleet.waitForRevision(correctedRevision)
  report.expect('misspelt plan published', true, 'rejected as a whole; the corrected plan is in force')
}

const withdrawKey = async (fleet: DemoFleet, client: Client, report: Report): Promise<void> => {
  const remainingKeys = fleet.platform.keys.slice(0, -1)
  fleet.platform.configuration.publish({ keys: keysDocument(remainingKeys) })
  const elapsedMilliseconds = await waitFor('the key to stop working', async () => {
    const answer = await client.call({ path: `/v1/services/${fleet.options.deployment.routes.status}/last`, method: 'GET' })
    return answer.isOk && answer.value.status === 401
  }, effectTimeoutMilliseconds)
  report.expect('key withdrawn', true, `refused after ${Math.round(elapsedMilliseconds)} ms`)
}

interface PlacedOrder {
  readonly ticket: string
  readonly outcome: string
}

const orderStep = 'before the kill'

const postOrder = async (fleet: DemoFleet, address: string, ticket: string): Promise<string> => {
  const { statusCode, headers, body } = await request(`${address}/v1/services/${fleet.options.deployment.routes.order}/place`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${fleet.platform.keys[0]?.key ?? ''}`,
      'content-type': 'application/json',
      [headerNames.ticket]: ticket
    },
    body: JSON.stringify({ item: 'ledger', when: orderStep })
  })
  await body.dump()
  return `${statusCode} ${String(headers[headerNames.outcome])}`
}

/** Places an order with a ticket issued by the VM at an address. */
const placeOrder = async (fleet: DemoFleet, address: string): Promise<PlacedOrder> => {
  const { body } = await request(`${address}/v1/entries`, {
    headers: { authorization: `Bearer ${fleet.platform.keys[0]?.key ?? ''}` }
  })
  const ticket = (await body.json() as { tickets: string[] }).tickets[0] ?? ''
  return { ticket, outcome: await postOrder(fleet, address, ticket) }
}

interface RepeatOptions {
  readonly killed: VmId
  readonly report: Report
}

/** Repeats the order through another VM after the VM that took it was killed. */
const repeatOrder = async (fleet: DemoFleet, order: PlacedOrder, { killed, report }: RepeatOptions): Promise<void> => {
  const other = fleet.vms.find(({ name }) => name !== killed)
  const repeated = await postOrder(fleet, `http://${other?.host}:${other?.callerPort}`, order.ticket)
  const runs = countRuns(fleet, orderStep)
  const isConsistent = repeated.endsWith(Outcome.Done) || repeated.endsWith(Outcome.Unknown)
  report.expect('order repeated after the kill', runs === 1 && isConsistent, `before: ${order.outcome}; after: ${repeated}, by ${other?.name}; ran ${runs} time(s)`)
}

const killVm = async (fleet: DemoFleet, client: Client, report: Report): Promise<void> => {
  const first = (await client.addresses())[0]
  const killedDaemon = fleet.daemons.find(({ vm }) => first === `http://${vm.host}:${vm.callerPort}`)
  if (first === undefined || killedDaemon === undefined) return report.expect('VM killed', false, 'the client uses no known VM')
  const order = await placeOrder(fleet, first)
  fleet.kill(killedDaemon)
  report.line('VM killed', `${killedDaemon.vm.name}, which the caller was using`)
  await repeatOrder(fleet, order, { killed: killedDaemon.vm.name, report })
  await sendAll(fleet, client, report, 'after the kill')
}

export const runScenario = async (fleet: DemoFleet): Promise<number> => {
  const report = new Report()
  const { deployment } = fleet.options
  report.line('deployment', `${deployment.name}: ${fleet.vms.length} VMs, ${deployment.upstreams.length} upstreams, ${deployment.teams.length} teams`)
  report.expect('all VMs ready', true, `after ${Math.round(await fleet.ready())} ms`)
  await new Promise((resolve) => setTimeout(resolve, 1_000))
  const largeTeamClient = clientFor(fleet, 0)
  const smallTeamClient = clientFor(fleet, deployment.teams.length - 1)
  await sendAll(fleet, largeTeamClient, report, 'at first')
  await editPlan(fleet, report)
  await breakPlan(fleet, report)
  await withdrawKey(fleet, smallTeamClient, report)
  await killVm(fleet, largeTeamClient, report)
  await Promise.all([largeTeamClient.close(), smallTeamClient.close()])
  return report.exitCode
}
