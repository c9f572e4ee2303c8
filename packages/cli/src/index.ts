export * from './administrationClient.js'
export * from './checkCommand.js'
export * from './fleetCommands.js'
export * from './keyCommand.js'
