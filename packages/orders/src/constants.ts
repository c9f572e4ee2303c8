/** Lifetimes and bounds of tickets and recorded answers. */

export const ticketLifetimeMilliseconds = 600_000
export const ticketBatchSize = 8
export const ledgerCapacity = 100_000
export const ticketSecretBytes = 32
