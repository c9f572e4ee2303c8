export * from './usageMeter.js'
