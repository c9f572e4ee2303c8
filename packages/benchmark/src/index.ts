export * from './types.js'
export * from './summary.js'
