/** Sizes, durations and targets of the benchmark. */

export const loopbackHost = '127.0.0.1'
export const upstreamProcessCount = 3
export const loadProcessCount = 3
export const connectionsPerLoadProcess = 16
export const roundCount = 3
export const roundMilliseconds = 1_500
export const warmUpMilliseconds = 1_500
export const firstByteMilliseconds = 4_000
export const firstByteRatePerSecond = 300
export const firstByteConnections = 64
export const eventsPerStream = 256
export const firstByteEventsPerStream = 4
export const targetShare = 0.6
export const routeName = 'drafting'
