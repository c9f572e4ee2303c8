/** Lifetimes and bounds of tickets, recorded answers and their copies. */

export const ticketLifetimeMilliseconds = 600_000
export const ticketBatchSize = 8
export const ticketSecretBytes = 32
export const ledgerCapacityRecords = 100_000
export const ledgerCapacityBytes = 16 * 1024 * 1024
export const ledgerSweepIntervalMilliseconds = 1_000
export const sealedBlockTicketCount = 4_096
export const copyCount = 1
export const copyCapacityBytes = 8 * 1024 * 1024
export const closedIncarnationCapacity = 64
export const recallTimeoutMilliseconds = 300
export const recallTickIntervalMilliseconds = 50
export const recallRemotePeerCount = 3
export const copyRetryIntervalMilliseconds = 500
export const unconfirmedCopyCapacity = 1_000
