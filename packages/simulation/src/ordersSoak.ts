/**
 * Soak suite: an order runs at most once, "not run" is true and stays true,
 * and "done" always repeats the same answer.
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

interface Soaked {
  readonly fleet: OrdersFleet
  readonly tally: SoakTally
  readonly tickets: string[]
}

type Model = Record<string, never>

class OrderCommand implements fastCheck.AsyncCommand<Model, Soaked, true> {
  constructor (private readonly name: string, private readonly act: (soaked: Soaked) => void | Promise<void>) {}

  check = (): Promise<boolean> => Promise.resolve(true)

  async run (_: Model, soaked: Soaked): Promise<void> {
    await this.act(soaked)
    await soaked.fleet.advance(1)
  }

  toString (): string {
    return this.name
  }
}

const vmIndex = fastCheck.integer({ min: 0, max: vmCount - 1 })
const nameOf = (index: number) => toVmId(`vm-${index}`)

const onVm = (name: string, act: (soaked: Soaked, index: number) => void | Promise<void>) =>
  vmIndex.map((index) => new OrderCommand(`${name}(${index})`, async (soaked) => await act(soaked, index)))

const onVmWithFault = (name: string, kind: FaultKind, act: (soaked: Soaked, index: number) => void | Promise<void>) =>
  onVm(name, async (soaked, index) => {
    soaked.tally.fault(kind)
    await act(soaked, index)
  })

/** The attempt goes on while later commands run; what its caller is told is noted when it comes. */
const present = ({ fleet, tally }: Soaked, index: number, ticket: string): void => {
  tally.operation()
  fleet.present(index, ticket).catch((error: unknown) => fleet.witness.failed(error))
}

const percent = (name: string, maximum: number, act: (soaked: Soaked, share: number) => void) =>
  fastCheck.integer({ min: 0, max: maximum }).map((value) =>
    new OrderCommand(`${name}(${value}%)`, (soaked) => act(soaked, value / 100)))

const order = onVm('order', (soaked, index) => {
  const ticket = soaked.fleet.mint(index)
  soaked.tickets.push(ticket)
  present(soaked, index, ticket)
})

const onTicket = (name: string, recent: number, act: (soaked: Soaked, index: number, ticket: string) => void) =>
  onVm(name, (soaked, index) => {
    const ticket = pickOne(soaked.tickets.slice(-recent), soaked.fleet.random)
    if (ticket !== undefined) act(soaked, index, ticket)
  })

const wait = fastCheck.integer({ min: 5, max: longestWaitMilliseconds }).map((span) =>
  new OrderCommand(`wait(${span})`, async ({ fleet }) => await fleet.advance(span)))

const refuseEarly = ({ fleet }: Soaked, index: number, ticket: string): void => {
  fleet.refuseEarly(index, ticket).catch((error: unknown) => fleet.witness.failed(error))
}

/** Commands that stand more than once are drawn more often. */
const commands = [
  order,
  order,
  order,
  wait,
  wait,
  onVm('mintUnused', (soaked, index) => { soaked.tickets.push(soaked.fleet.mint(index)) }),
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
  percent('loss', 40, ({ fleet, tally }, share) => {
    tally.fault(FaultKind.Loss)
    fleet.link.lossShare = share
  }),
  percent('lostAnswers', 50, ({ fleet, tally }, share) => {
    tally.fault(FaultKind.SilentConnection)
    fleet.lostAnswerShare = share
  }),
  percent('reorder', 100, ({ fleet, tally }, share) => {
    tally.fault(FaultKind.Reorder)
    fleet.link.reorderMilliseconds = share * 1_000
  }),
  fastCheck.integer({ min: ordersTicketLifetimeMilliseconds / 4, max: ordersTicketLifetimeMilliseconds }).map((span) =>
    new OrderCommand(`expire(${span})`, async ({ fleet }) => await fleet.advance(span)))
]

const finish = async ({ fleet, tickets }: Soaked): Promise<void> => {
  fleet.link.heal()
  fleet.link.lossShare = 0
  for (let index = 0; index < vmCount; index += 1) fleet.link.resume(nameOf(index))
  await fleet.advance(settleMilliseconds)
  for (const ticket of tickets) {
    for (let index = 0; index < vmCount; index += 1) {
      fleet.present(index, ticket).catch((error: unknown) => fleet.witness.failed(error))
    }
  }
  await fleet.advance(settleMilliseconds)
}

export const ordersSoak: SoakSuite = {
  name: 'orders',
  promise: 'A non-idempotent request runs at most once, and a refusal saying "not run" is true.',
  run: async (seed, tally) => await checkAsyncCommands<Model, Soaked>({
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
