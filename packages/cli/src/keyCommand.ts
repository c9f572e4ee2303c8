/**
 * `cuminvale key new`: generates a caller key and prints it once, with the
 * entry to publish in `keys.json`.
 */

import { command, flag, option, string, subcommands } from 'cmd-ts'
import { digestCallerKey, generateCallerKey } from '@cuminvale/keys'
import { print, printJson } from './output.js'

const newCommand = command({
  name: 'new',
  description: 'Generate a key for a team; the key is shown once and stored nowhere',
  args: {
    team: option({ type: string, long: 'team', description: 'Team that the key is for' }),
    json: flag({ long: 'json', description: 'Print JSON' })
  },
  handler: ({ team, json }) => {
    const key = generateCallerKey()
    const entry = { digest: digestCallerKey(key), team }
    if (json) return printJson({ key, entry })
    print(`key (give it to the team, it is not stored): ${key}`)
    print(`entry to publish in keys.json: ${JSON.stringify(entry)}`)
  }
})

export const keyCommand = subcommands({ name: 'key', description: 'Caller keys', cmds: { new: newCommand } })
