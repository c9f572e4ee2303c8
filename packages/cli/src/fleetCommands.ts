/**
 * Commands that ask the administration API of one or more VMs.
 */

import { command, flag, multioption, array, option, optional, string } from 'cmd-ts'
import { callAdministration } from './administrationClient.js'
import { exitCodeFailed } from './constants.js'
import { fail, print, printJson } from './output.js'

const shared = {
  vm: multioption({ type: array(string), long: 'vm', description: 'Administration address of a VM; may be repeated' }),
  tokenFile: option({ type: string, long: 'token-file', description: 'File with the administration token' }),
  json: flag({ long: 'json', description: 'Print JSON' })
}

interface VmAnswer {
  readonly address: string
  readonly answer?: unknown
  readonly error?: string
}

interface AskOptions {
  readonly vm: readonly string[]
  readonly tokenFile: string
  readonly path: string
  readonly method?: 'GET' | 'POST'
}

const askEach = async ({ vm, tokenFile, path, method }: AskOptions): Promise<readonly VmAnswer[]> =>
  await Promise.all(vm.map(async (address) => {
    const answer = await callAdministration({ address, tokenFile, path, ...(method === undefined ? {} : { method }) })
    return answer.isOk ? { address, answer: answer.value } : { address, error: answer.error.message }
  }))

const report = (answers: readonly VmAnswer[], json: boolean): void => {
  if (answers.some(({ error }) => error !== undefined)) process.exitCode = exitCodeFailed
  if (json) return printJson(answers)
  for (const { address, answer, error } of answers) print(`${address}: ${error ?? JSON.stringify(answer)}`)
}

export const statusCommand = command({
  name: 'status',
  description: 'Revision, readiness and load of VMs',
  args: shared,
  handler: async ({ vm, tokenFile, json }) =>
    report(await askEach({ vm, tokenFile, path: '/administration/status' }), json)
})

export const usageCommand = command({
  name: 'usage',
  description: 'Completed requests by team and route',
  args: shared,
  handler: async ({ vm, tokenFile, json }) =>
    report(await askEach({ vm, tokenFile, path: '/administration/usage' }), json)
})

export const drainCommand = command({
  name: 'drain',
  description: 'Take a VM out of the entries answer; it finishes what it has',
  args: shared,
  handler: async ({ vm, tokenFile, json }) =>
    report(await askEach({ vm, tokenFile, path: '/administration/drain', method: 'POST' }), json)
})

export const explainCommand = command({
  name: 'explain',
  description: 'Where a request of a team on a route would go now, and why',
  args: {
    ...shared,
    team: option({ type: string, long: 'team' }),
    route: option({ type: string, long: 'route' }),
    model: option({ type: optional(string), long: 'model' })
  },
  handler: async ({ vm, tokenFile, json, team, route, model }) => {
    const query = new URLSearchParams({ team, route, ...(model === undefined ? {} : { model }) })
    const address = vm[0] ?? ''
    const answer = await callAdministration({ address, tokenFile, path: `/administration/explain?${query}` })
    if (answer.isErr) return fail(answer.error)
    return json ? printJson(answer.value) : print(JSON.stringify(answer.value))
  }
})
