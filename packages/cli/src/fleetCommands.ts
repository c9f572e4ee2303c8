/**
 * Commands that call the administration API of one or more VMs.
 */

import { command, flag, multioption, array, option, optional, string } from 'cmd-ts'
import { callAdministration } from './administrationClient.js'
import { exitCodeFailed } from './constants.js'
import { callVms, callFleet } from './fleetClient.js'
import { fail, print, printJson } from './output.js'
import { formatExplanation, formatStatus } from './reports.js'
import type { VmAnswer } from './fleetClient.js'
import type { Explanation } from './reports.js'

export const sharedArguments = {
  vm: multioption({ type: array(string), long: 'vm', description: 'Administration address of a VM; may be repeated' }),
  tokenFile: option({ type: string, long: 'token-file', description: 'File with the administration token' }),
  json: flag({ long: 'json', description: 'Print JSON' })
}

interface PrintOptions {
  readonly json: boolean
  readonly format: (answers: readonly VmAnswer[]) => string
}

const printAnswers = (answers: readonly VmAnswer[], { json, format }: PrintOptions): void => {
  if (answers.some(({ error }) => error !== undefined)) process.exitCode = exitCodeFailed
  if (json) return printJson(answers)
  print(format(answers))
}

export const statusCommand = command({
  name: 'status',
  description: 'Revision, readiness and load of every VM',
  args: sharedArguments,
  handler: async ({ vm, tokenFile, json }) =>
    printAnswers(await callFleet({ vm, tokenFile, path: '/administration/status' }), { json, format: formatStatus })
})

export const drainCommand = command({
  name: 'drain',
  description: 'Stop listing a VM in the entries answer; it finishes the requests that it has accepted',
  args: sharedArguments,
  handler: async ({ vm, tokenFile, json }) =>
    printAnswers(await callVms({ vm, tokenFile, path: '/administration/drain', method: 'POST' }), { json, format: formatStatus })
})

export const explainCommand = command({
  name: 'explain',
  description: 'Where a request of a team on a route would be sent at present, and why',
  args: {
    ...sharedArguments,
    team: option({ type: string, long: 'team' }),
    route: option({ type: string, long: 'route' }),
    model: option({ type: optional(string), long: 'model' })
  },
  handler: async ({ vm, tokenFile, json, team, route, model }) => {
    const query = new URLSearchParams({ team, route, ...(model === undefined ? {} : { model }) })
    const address = vm[0] ?? ''
    const answer = await callAdministration({ address, tokenFile, path: `/administration/explain?${query}` })
    if (answer.isErr) return fail(answer.error)
    return json ? printJson(answer.value) : print(formatExplanation(answer.value as Explanation))
  }
})
