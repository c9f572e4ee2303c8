export * from './types.js'
export * from './configurationHolder.js'
export * from './configurationSpread.js'
export * from './servicePacing.js'
