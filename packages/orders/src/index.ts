export * from './constants.js'
export * from './ticket.js'
export * from './orderLedger.js'
