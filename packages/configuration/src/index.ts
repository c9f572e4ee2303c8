export * from './types.js'
export * from './configurationHolder.js'
export * from './configurationGossip.js'
export * from './servicePacing.js'
