export * from './types.js'
export * from './uniformEntryChooser.js'
