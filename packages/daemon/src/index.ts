/**
 * API of `cuminvaled` for programs that start a daemon in their own process, such as the demo fleet and its tests.
 */

export { createDaemon } from './createDaemon.js'
export { parseSettings, readSettings } from './settings.js'
export { formatSettingFault } from './errors.js'
export type { Daemon } from './createDaemon.js'
export type { Settings } from './settings.js'
export type { SettingFault } from './errors.js'
