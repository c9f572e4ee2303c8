/**
 * Writes new random secrets for a fleet into a directory.
 */

import { randomBytes } from 'node:crypto'
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { SecretFiles } from './daemonProcess.js'

const secretBytes = 32

export const writeSecrets = (directory: string): SecretFiles => {
  const secrets = { fleetSecret: join(directory, 'fleet-secret'), administrationToken: join(directory, 'administration-token') }
  for (const file of Object.values(secrets)) writeFileSync(file, randomBytes(secretBytes).toString('hex') + '\n', { mode: 0o600 })
  return secrets
}
