export * from './types.js'
export * from './errors.js'
export * from './client.js'
