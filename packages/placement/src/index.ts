export * from './types.js'
export * from './staticPlanner.js'
