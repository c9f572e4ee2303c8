export * from './log.js'
export * from './lineBuffer.js'
