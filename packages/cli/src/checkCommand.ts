/**
 * `cuminvale check`: validates a directory of documents before they are
 * published, and lists the differences from the documents in force on a VM.
 */

import { command, flag, option, optional, positional, string } from 'cmd-ts'
import { toRevision } from '@cuminvale/common'
import { checkDocuments, diffConfigurations, formatDocumentFault } from '@cuminvale/documents'
import type { Configuration, DocumentTexts } from '@cuminvale/documents'
import { callAdministration } from './administrationClient.js'
import { exitCodeInvalidDocuments } from './constants.js'
import { fail, print, printJson } from './output.js'
import { readDocuments } from './readDocuments.js'
import { formatChange } from './reports.js'

interface PublishedAnswer {
  readonly revision: number
  readonly texts: DocumentTexts
}

const fetchConfigurationInForce = async (address: string, tokenFile: string): Promise<Configuration | undefined> => {
  const answer = await callAdministration({ address, tokenFile, path: '/administration/documents' })
  if (answer.isErr) {
    fail(answer.error)
    return undefined
  }
  const published = answer.value as PublishedAnswer
  return checkDocuments(toRevision(published.revision), published.texts).unwrapOr(undefined as never)
}

export const checkCommand = command({
  name: 'check',
  description: 'Check documents before publishing them',
  args: {
    directory: positional({ type: string, displayName: 'directory', description: 'Directory with teams.json, plans.json, keys.json, routes.json, upstreams.json' }),
    against: option({ type: optional(string), long: 'against', description: 'Administration address of a VM to compare with' }),
    tokenFile: option({ type: string, long: 'token-file', defaultValue: () => '', description: 'File with the administration token' }),
    json: flag({ long: 'json', description: 'Print JSON' })
  },
  handler: async ({ directory, against, tokenFile, json }) => {
    const texts = readDocuments(directory)
    if (texts.isErr) return fail(texts.error)
    const checked = checkDocuments(toRevision(0), texts.value)
    if (checked.isErr) {
      process.exitCode = exitCodeInvalidDocuments
      return json ? printJson({ valid: false, faults: checked.error }) : checked.error.forEach((fault) => print(formatDocumentFault(fault)))
    }
    const inForce = against === undefined ? undefined : await fetchConfigurationInForce(against, tokenFile)
    const changes = inForce === undefined ? [] : diffConfigurations(inForce, checked.value)
    if (json) return printJson({ valid: true, changes })
    print('valid')
    changes.forEach((change) => print(formatChange(change)))
  }
})
