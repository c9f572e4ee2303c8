export { soakSuites } from './soakSuites.js'
export { measureScenarios } from './measureScenarios.js'
export { capacityProbes } from './capacityProbes.js'
