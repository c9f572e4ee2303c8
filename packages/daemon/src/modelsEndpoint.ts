/**
 * `GET /v1/models`: the models that the plan of the caller's team allows.
 */

import { planOfTeam } from '@cuminvale/documents'
import { checkKey } from '@cuminvale/keys'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { sendRefusal } from './problemDocument.js'
import { requireConfiguration } from './receiveRequest.js'
import { sendJson } from './sendJson.js'
import type { VmContext } from './vmContext.js'

export const answerModels = (context: VmContext, incoming: IncomingMessage, response: ServerResponse): void => {
  const models = requireConfiguration(context).andThen((configuration) =>
    checkKey(incoming.headers.authorization, configuration)
      .map(({ team }) => planOfTeam(configuration, team)?.models ?? []))
  if (models.isErr) return sendRefusal(response, models.error)
  sendJson(response, 200, {
    object: 'list',
    data: models.value.map((id) => ({ id, object: 'model', owned_by: 'cuminvale' }))
  })
}
