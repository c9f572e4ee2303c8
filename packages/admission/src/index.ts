export * from './types.js'
export * from './fifoQueue.js'
