import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it, vi } from 'vitest'
import { checkCommand, drainCommand, explainCommand, statusCommand } from '@cuminvale/cli'
import { documentNames } from '@cuminvale/documents'
import { cooperativa } from './deployments.js'
import { TestFleet } from './testFleet.js'
import { waitFor } from './waitFor.js'
import type { DocumentName } from '@cuminvale/documents'

let fleet: TestFleet
let printed = ''

beforeAll(async () => {
  fleet = await TestFleet.start(cooperativa, 2)
})

afterAll(async () => {
  await fleet.stop()
})

beforeEach(() => {
  printed = ''
  vi.spyOn(process.stdout, 'write').mockImplementation((text) => {
    // The daemons of the test fleet log to the same output.
    if (!String(text).startsWith('{"time"')) printed += String(text)
    return true
  })
})

afterEach(() => {
  vi.restoreAllMocks()
  process.exitCode = undefined
})

const address = (vm: number): string => `http://127.0.0.1:${fleet.vms[vm]?.listed.administrationPort}`
const shared = (vm: number, json = false) => ({ vm: [address(vm)], tokenFile: join(fleet.directory, 'administration-token'), json })

const explain = async (team: string, route: string, model?: string) => {
  await explainCommand.handler({ ...shared(0, true), team, route, model })
  return JSON.parse(printed) as Record<string, unknown>
}

const writeDocuments = (name: string, edits: Partial<Record<DocumentName, [string, string]>>): string => {
  const directory = join(fleet.directory, name)
  mkdirSync(directory)
  for (const document of documentNames) {
    const text = fleet.platform.configuration.text(document)
    const edit = edits[document]
    writeFileSync(join(directory, `${document}.json`), edit === undefined ? text : text.replace(edit[0], edit[1]))
  }
  return directory
}

describe('cuminvale status', () => {
  it('shows every VM by asking one of them', async () => {
    await statusCommand.handler(shared(0))
    expect(printed.split('\n')[0]).toMatch(/^VM +REGION +ADDRESS +REVISION +READINESS +ACTIVE +QUEUED$/)
    expect(printed).toMatch(/gateway-1 +lombardia .* 1 +ready/)
    expect(printed).toMatch(/gateway-2 +lombardia .* 1 +ready/)
    expect(process.exitCode).toBeUndefined()
  })

  it('shows which VM does not answer, and exits 1', async () => {
    await statusCommand.handler({ ...shared(0), vm: ['http://127.0.0.1:1', address(0)] })
    expect(printed).toContain('no answer')
    expect(printed).toContain('gateway-2')
    expect(process.exitCode).toBe(1)
  })
})

describe('cuminvale explain', () => {
  it('names the chosen upstream and the runner-up', async () => {
    const explanation = await explain('carta-veneta', 'drafting', 'catalogue-writer')
    expect(explanation).toMatchObject({ result: 'run', choice: { upstream: expect.stringMatching(/^drafting-/) as unknown, runnerUp: expect.stringMatching(/^drafting-/) as unknown } })
  })

  it('gives the plan as the reason for a model that is not in it', async () => {
    expect(await explain('carta-veneta', 'drafting', 'other')).toMatchObject({ result: 'refused', reason: 'not-in-plan' })
  })

  it('refuses a team that has no key in force', async () => {
    const keys = fleet.platform.configuration.text('keys')
    const revision = fleet.platform.configuration.publish({ keys: '{ "keys": [] }' })
    await waitFor('the keys to be gone', () => Promise.resolve(fleet.vms[0]?.daemon.context.configuration.current?.revision === revision), 5_000)
    expect(await explain('carta-veneta', 'drafting')).toMatchObject({ result: 'refused', reason: 'key-unknown' })
    fleet.platform.configuration.publish({ keys })
  })
})

describe('cuminvale check', () => {
  it('shows changed values before and after', async () => {
    const directory = writeDocuments('edited', { plans: ['"weight": 4', '"weight": 5'] })
    await checkCommand.handler({ directory, against: address(0), tokenFile: shared(0).tokenFile, json: false })
    expect(printed).toContain('valid\nchanged plans "large"\n  weight: 4 -> 5\n')
  })

  it('lists every error with its line, and exits 2', async () => {
    const directory = writeDocuments('faulty', { plans: ['"weight": 4', '"weigth": 4'], teams: ['"plan": "small"', '"plan": "tiny"'] })
    await checkCommand.handler({ directory, against: undefined, tokenFile: '', json: false })
    expect(printed).toMatch(/^plans:\d+: plans\[0\]/m)
    expect(process.exitCode).toBe(2)
  })
})

describe('cuminvale drain', () => {
  it('drains only the named VM', async () => {
    await drainCommand.handler(shared(1))
    expect(printed).toContain('draining')
    expect(fleet.vms.map(({ daemon }) => daemon.context.lifecycle.isDraining)).toEqual([false, true])
  })
})
