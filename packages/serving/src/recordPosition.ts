/**
 * Positions in the history of the store. The store may come back from an older
 * copy of itself; its era rises then, and revisions that were lost are given out
 * again. A position is one number made of era and revision, so that positions
 * are ordered by era first. In era 0 it is the revision itself.
 */

const revisionsPerEra = 2 ** 36
/** Positions up to it are exact integers. */
export const maximumEra = 65_535

export const toPosition = (era: number, revision: number): number => era * revisionsPerEra + revision

export const eraOf = (position: number): number => Math.floor(position / revisionsPerEra)

export const revisionOf = (position: number): number => position % revisionsPerEra

/** For logs: the revision, after its era and a slash if that is not 0. */
export const describePosition = (position: number): number | string =>
  position < revisionsPerEra ? position : `${eraOf(position)}/${revisionOf(position)}`
