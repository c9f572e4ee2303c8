/**
 * `npm run demo`: starts the fakes and eight daemons on loopback, and shows what
 * happens to requests while an operator edits documents and a VM is killed.
 */

import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { cooperativa, deployments } from './deployments.js'
import { DemoFleet } from './demoFleet.js'
import { runScenario } from './scenario.js'
import { writeSecrets } from './writeSecrets.js'

const run = async (): Promise<void> => {
  const { values } = parseArgs({ options: { deployment: { type: 'string', default: cooperativa.name } } })
  const deployment = deployments.find(({ name }) => name === values.deployment)
  if (deployment === undefined) {
    process.stderr.write(`unknown deployment "${values.deployment}"; known deployments: ${deployments.map(({ name }) => name).join(', ')}\n`)
    process.exitCode = 2
    return
  }
  const directory = mkdtempSync(join(tmpdir(), 'cuminvale-demo-'))
  const fleet = await DemoFleet.start({ deployment, directory, secrets: writeSecrets(directory) })
  try {
    process.exitCode = await runScenario(fleet)
  } finally {
    await fleet.stop()
    rmSync(directory, { recursive: true, force: true })
  }
}

run().catch((error: unknown) => {
  process.stderr.write(`demo failed: ${error instanceof Error ? error.message : String(error)}\n`)
  process.exitCode = 1
})
