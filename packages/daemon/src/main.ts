/**
 * Entry point of `cuminvaled`: reads the settings and starts the daemon of one VM.
 * SIGTERM and SIGINT shut it down gracefully. SIGHUP reloads the secrets.
 */

import { exitCodeInvalidSettings } from './constants.js'
import { createDaemon } from './createDaemon.js'
import { formatSettingFault } from './errors.js'
import { readSettings } from './settings.js'

const usage = 'usage: cuminvaled <settings.ini>\n'

const run = async (): Promise<void> => {
  const file = process.argv[2]
  if (file === undefined) {
    process.stderr.write(usage)
    process.exit(exitCodeInvalidSettings)
  }
  const settings = readSettings(file)
  if (settings.isErr) {
    process.stderr.write(settings.error.map(formatSettingFault).join('\n') + '\n')
    process.exit(exitCodeInvalidSettings)
  }
  const daemon = await createDaemon(settings.value)
  const stop = (): void => {
    daemon.shutdown().then(() => process.exit(0), () => process.exit(1))
  }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
  process.on('SIGHUP', () => {
    for (const secrets of [daemon.context.fleetSecret, daemon.context.administrationToken]) {
      const read = secrets.reload()
      if (read.isErr) daemon.context.log.error('secret-not-reloaded', { detail: read.error.message })
    }
  })
}

run().catch((error: unknown) => {
  process.stderr.write(`cuminvaled: ${error instanceof Error ? error.message : String(error)}\n`)
  process.exit(1)
})
