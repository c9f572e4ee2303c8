/**
 * The `cuminvale` command for operators.
 */

import { binary, run, subcommands } from 'cmd-ts'
import { checkCommand } from './checkCommand.js'
import { drainCommand, explainCommand, statusCommand } from './fleetCommands.js'
import { keyCommand } from './keyCommand.js'
import { usageCommand } from './usageCommand.js'

const cuminvale = subcommands({
  name: 'cuminvale',
  description: 'Operate a cuminvale fleet',
  cmds: {
    check: checkCommand,
    key: keyCommand,
    status: statusCommand,
    explain: explainCommand,
    usage: usageCommand,
    drain: drainCommand
  }
})

run(binary(cuminvale), process.argv)
