export * from './types.js'
export * from './listMembership.js'
