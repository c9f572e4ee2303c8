/**
 * Divides the capacity of a service among the flows that ask for it. A flow is
 * the demand of one team at one rank. Capacity goes to ranks in order of
 * urgency, after each rank has received a floor; within a rank it is divided
 * among teams by max-min fairness. Late requests get what on-time requests of all
 * ranks leave.
 */

export interface Flow {
  /** 0 is the most urgent. */
  readonly rank: number
  readonly isLate: boolean
  /** Milliseconds of upstream work per second that the flow asks for. */
  readonly demand: number
}

/** Share of the capacity that each rank with demand gets before more urgent ranks get more, so that no rank starves. */
const rankFloorShare = 0.1

/** Shares of the flows' demands that are granted, 0 to 1, in the order of the flows. */
export const divideCapacity = (flows: readonly Flow[], capacity: number): readonly number[] => {
  const ranks = [...new Set(flows.filter(({ isLate }) => !isLate).map(({ rank }) => rank))].sort((first, second) => first - second)
  const lateRanks = [...new Set(flows.filter(({ isLate }) => isLate).map(({ rank }) => rank))].sort((first, second) => first - second)
  const classes = [
    ...ranks.map((rank) => ({ rank, isLate: false, floorShare: Math.min(rankFloorShare, 1 / ranks.length) })),
    ...lateRanks.map((rank) => ({ rank, isLate: true, floorShare: 0 }))
  ].map((group) => {
    const members = flows.map((flow, index) => ({ flow, index })).filter(({ flow }) => flow.rank === group.rank && flow.isLate === group.isLate)
    const demand = members.reduce((sum, { flow }) => sum + flow.demand, 0)
    return { members, demand, floor: Math.min(demand, capacity * group.floorShare) }
  })
  let spare = capacity - classes.reduce((sum, { floor }) => sum + floor, 0)
  const shares = flows.map(() => 1)
  for (const { members, demand, floor } of classes) {
    const extra = Math.max(0, Math.min(spare, demand - floor))
    spare -= extra
    const limit = maxMinLimit(members.map(({ flow }) => flow.demand), floor + extra)
    for (const { flow, index } of members) shares[index] = flow.demand <= limit ? 1 : limit / flow.demand
  }
  return shares
}

/** The largest amount that no demand may exceed, so that all of them together use no more than the capacity. */
const maxMinLimit = (demands: readonly number[], capacity: number): number => {
  const ascending = [...demands].sort((first, second) => first - second)
  let remaining = capacity
  for (const [index, demand] of ascending.entries()) {
    const equalPart = remaining / (ascending.length - index)
    if (demand > equalPart) return equalPart
    remaining -= demand
  }
  return Infinity
}
