export * from './types.js'
export * from './uniformEntryChooser.js'
export * from './steeredEntryChooser.js'
export * from './entryLoads.js'
