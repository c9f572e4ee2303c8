export * from './daemonProcess.js'
export * from './deployments.js'
export * from './waitFor.js'
export * from './writeSecrets.js'
