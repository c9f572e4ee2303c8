/**
 * Soak suite for orders: an order runs at most once, "not run" is true and stays
 * true, and "done" always repeats the same answer.
 */

import * as fastCheck from 'fast-check'
import { pickOne, toVmId } from '@cuminvale/common'
import { checkAsyncCommands } from './checkAsyncCommands.js'
import { OrdersFleet, ordersTicketLifetimeMilliseconds } from './ordersFleet.js'
import { FaultKind } from './soakSuite.js'
import type { SoakSuite, SoakTally } from './soakSuite.js'

const vmCount = 4
const runsPerBatch = 25
const ledgerCapacity = 2
const maximumCommands = 40
const settleMilliseconds = 3_000
const longestWaitMilliseconds = 1_500

interface SystemUnderTest {
  readonly fleet: OrdersFleet
  readonly tally: SoakTally
  readonly tickets: string[]
}

type Model = Record<string, never>

class OrderCommand implements fastCheck.AsyncCommand<Model, SystemUnderTest, true> {
  constructor (private readonly name: string, private readonly execute: (system: SystemUnderTest) => void | Promise<void>) {}

  check = (): Promise<boolean> => Promise.resolve(true)

  async run (_: Model, system: SystemUnderTest): Promise<void> {
    await this.execute(system)
    await system.fleet.advance(1)
  }

  toString (): string {
    return this.name
  }
}

const vmIndex = fastCheck.integer({ min: 0, max: vmCount - 1 })
const nameOf = (index: number) => toVmId(`vm-${index}`)

const onVm = (name: string, execute: (system: SystemUnderTest, index: number) => void | Promise<void>) =>
  vmIndex.map((index) => new OrderCommand(`${name}(${index})`, async (system) => await execute(system, index)))

const onVmWithFault = (name: string, kind: FaultKind, execute: (system: SystemUnderTest, index: number) => void | Promise<void>) =>
  onVm(name, async (system, index) => {
    system.tally.fault(kind)
    await execute(system, index)
  })

/** The attempt continues while later commands run; its outcome is recorded when the VM reports it. */
const present = ({ fleet, tally }: SystemUnderTest, index: number, ticket: string): void => {
  tally.operation()
  fleet.present(index, ticket).catch((error: unknown) => fleet.historyChecker.failed(error))
}

const shareCommand = (name: string, maximum: number, execute: (system: SystemUnderTest, share: number) => void) =>
  fastCheck.integer({ min: 0, max: maximum }).map((value) =>
    new OrderCommand(`${name}(${value}%)`, (system) => execute(system, value / 100)))

const order = onVm('order', (system, index) => {
  const ticket = system.fleet.mint(index)
  system.tickets.push(ticket)
  present(system, index, ticket)
})

const onTicket = (name: string, recentCount: number, execute: (system: SystemUnderTest, index: number, ticket: string) => void) =>
  onVm(name, (system, index) => {
    const ticket = pickOne(system.tickets.slice(-recentCount), system.fleet.random)
    if (ticket !== undefined) execute(system, index, ticket)
  })

const wait = fastCheck.integer({ min: 5, max: longestWaitMilliseconds }).map((milliseconds) =>
  new OrderCommand(`wait(${milliseconds})`, async ({ fleet }) => await fleet.advance(milliseconds)))

const refuseEarly = ({ fleet }: SystemUnderTest, index: number, ticket: string): void => {
  fleet.refuseEarly(index, ticket).catch((error: unknown) => fleet.historyChecker.failed(error))
}

/** Commands that are listed more than once are drawn more often. */
const commands = [
  order,
  order,
  order,
  wait,
  wait,
  onVm('mintUnused', (system, index) => { system.tickets.push(system.fleet.mint(index)) }),
  onTicket('retry', 2, present),
  onTicket('retryRecent', 5, present),
  onTicket('retryAny', Infinity, present),
  onTicket('refuseEarly', 3, refuseEarly),
  fastCheck.integer().map((seed) => new OrderCommand(`reseed(${seed})`, ({ fleet }) => fleet.reseed(seed))),
  onVmWithFault('crash', FaultKind.Crash, ({ fleet }, index) => fleet.crash(index)),
  onVmWithFault('restart', FaultKind.Restart, ({ fleet }, index) => fleet.start(index)),
  onVmWithFault('leave', FaultKind.Restart, async ({ fleet }, index) => await fleet.leave(index)),
  onVmWithFault('pause', FaultKind.Pause, ({ fleet }, index) => fleet.link.pause(nameOf(index))),
  onVm('resume', ({ fleet }, index) => fleet.link.resume(nameOf(index))),
  onVmWithFault('isolate', FaultKind.Partition, ({ fleet }, index) => fleet.link.isolate([nameOf(index)])),
  fastCheck.constant(new OrderCommand('heal', ({ fleet }) => fleet.link.heal())),
  shareCommand('loss', 40, ({ fleet, tally }, share) => {
    tally.fault(FaultKind.Loss)
    fleet.link.lossShare = share
  }),
  shareCommand('lostAnswers', 50, ({ fleet, tally }, share) => {
    tally.fault(FaultKind.SilentConnection)
    fleet.lostAnswerShare = share
  }),
  shareCommand('reorder', 100, ({ fleet, tally }, share) => {
    tally.fault(FaultKind.Reorder)
    fleet.link.reorderMilliseconds = share * 1_000
  }),
  fastCheck.integer({ min: ordersTicketLifetimeMilliseconds / 4, max: ordersTicketLifetimeMilliseconds }).map((milliseconds) =>
    new OrderCommand(`expire(${milliseconds})`, async ({ fleet }) => await fleet.advance(milliseconds)))
]

const finish = async ({ fleet, tickets }: SystemUnderTest): Promise<void> => {
  fleet.link.heal()
  fleet.link.lossShare = 0
  for (let index = 0; index < vmCount; index += 1) fleet.link.resume(nameOf(index))
  await fleet.advance(settleMilliseconds)
  for (const ticket of tickets) {
    for (let index = 0; index < vmCount; index += 1) {
      fleet.present(index, ticket).catch((error: unknown) => fleet.historyChecker.failed(error))
    }
  }
  await fleet.advance(settleMilliseconds)
}

export const ordersSoak: SoakSuite = {
  name: 'orders',
  guarantee: 'A non-idempotent request runs at most once, and a refusal saying "not run" is true.',
  run: async (seed, tally) => await checkAsyncCommands<Model, SystemUnderTest>({
    seed,
    runs: runsPerBatch,
    maximumCommands,
    commands,
    setup: () => {
      const fleet = new OrdersFleet({ seed, vmCount, copyCount: 1, ledgerCapacity })
      return { model: {}, real: { fleet, tally, tickets: [] } }
    },
    finish
  })
}
