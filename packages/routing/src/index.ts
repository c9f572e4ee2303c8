export * from './types.js'
export * from './candidates.js'
export * from './leastInFlightChooser.js'
export * from './upstreamTable.js'
