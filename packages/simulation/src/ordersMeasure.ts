/**
 * Measures the share of orders that end with the outcome unknown to the caller,
 * by fault of the VM that minted the ticket and by number of copies.
 */

import { Outcome, SeededRandom, toVmId } from '@cuminvale/common'
import { OrdersFleet } from './ordersFleet.js'
import type { MeasureRow, MeasureScenario } from './measureScenario.js'
import type { ReportedOutcome } from './orderHistoryChecker.js'

interface OrderFault {
  readonly name: string
  readonly inject: (fleet: OrdersFleet) => void
}

const vmCount = 8
const ordersPerFault = 100
const ledgerCapacity = 100
const latestFaultMilliseconds = 1_000
const answerTimeoutMilliseconds = 1_200
const retryCount = 3
const drainNoticeMilliseconds = 1_500
const firstAnswerLossShare = 0.3
const mintingVm = 0
const mintingVmName = toVmId('vm-0')

/** The VM keeps running through the notice period, so that it finishes its running orders before it leaves. */
const leaveAfterNotice = (fleet: OrdersFleet): void => {
  fleet.clock.schedule(drainNoticeMilliseconds, () => { fleet.leave(mintingVm).catch(() => {}) })
}

const faults: readonly OrderFault[] = [
  { name: 'none', inject: () => {} },
  { name: 'minting VM crashes', inject: (fleet) => fleet.crash(mintingVm) },
  { name: 'minting VM restarts', inject: (fleet) => fleet.start(mintingVm) },
  { name: 'minting VM leaves in order', inject: leaveAfterNotice },
  { name: 'minting VM is cut off', inject: (fleet) => fleet.link.isolate([mintingVmName]) },
  { name: 'minting VM pauses', inject: (fleet) => fleet.link.pause(mintingVmName) }
]

const policies = [
  { policy: 'no copies', copyCount: 0 },
  { policy: 'one copy', copyCount: 1 },
  { policy: 'two copies', copyCount: 2 }
] as const

/** Presents the ticket to a VM; resolves with undefined if no answer arrives within the time-out. */
const presentTicket = async (fleet: OrdersFleet, vm: number, ticket: string): Promise<ReportedOutcome | undefined> => {
  let received: ReportedOutcome | undefined
  fleet.present(vm, ticket).then((statement) => { received = statement }, () => {})
  await fleet.advance(answerTimeoutMilliseconds)
  return received
}

/** Runs one order. Its first answer may be lost; the caller then presents the ticket again through other VMs. */
const runOrder = async (fault: OrderFault, copyCount: number, random: SeededRandom): Promise<Outcome> => {
  const fleet = new OrdersFleet({ seed: Math.floor(random.next() * 2 ** 31), vmCount, copyCount, ledgerCapacity })
  await fleet.advance(1)
  const ticket = fleet.mint(mintingVm)
  const isFirstAnswerLost = random.next() < firstAnswerLossShare
  fleet.clock.schedule(random.next() * latestFaultMilliseconds, () => fault.inject(fleet))
  const first = await presentTicket(fleet, mintingVm, ticket)
  if (!isFirstAnswerLost && first !== undefined && first.outcome !== Outcome.Unknown) return first.outcome
  for (let retry = 1; retry <= retryCount; retry += 1) {
    const answer = await presentTicket(fleet, retry * 2 - 1, ticket)
    if (answer !== undefined && answer.outcome !== Outcome.Unknown) return answer.outcome
  }
  return Outcome.Unknown
}

const measure = async (fault: OrderFault, { policy, copyCount }: typeof policies[number], seed: number): Promise<MeasureRow> => {
  const random = new SeededRandom(seed)
  let unknownOutcomes = 0
  for (let order = 0; order < ordersPerFault; order += 1) {
    if (await runOrder(fault, copyCount, random) === Outcome.Unknown) unknownOutcomes += 1
  }
  return {
    decision: 'orders',
    policy,
    scenario: fault.name,
    cost: null,
    tailLatencyMilliseconds: null,
    sentAwayShare: null,
    worstTeamShare: null,
    wrongfulRefusalShare: null,
    overspendTokens: null,
    unknownOutcomeShare: unknownOutcomes / ordersPerFault
  }
}

export const ordersMeasure: MeasureScenario = {
  decision: 'orders',
  run: async (_, seed) => {
    const rows: MeasureRow[] = []
    for (const fault of faults) {
      for (const policy of policies) rows.push(await measure(fault, policy, seed))
    }
    return rows
  }
}
