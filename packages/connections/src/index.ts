export * from './verifiedEnd.js'
