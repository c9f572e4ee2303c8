export * from './types.js'
export * from './tokenBucket.js'
export * from './staticSplitLimiter.js'
