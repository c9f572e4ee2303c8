/**
 * Starts a RequestExecution whose answer goes to an HTTP response, of a caller
 * or of a VM that forwarded the request. When the connection closes, the
 * execution ends too. Once the VM has ended its requests, it refuses new ones.
 */

import { RequestExecution } from './requestExecution.js'
import type { ServerResponse } from 'node:http'
import type { RequestExecutionOptions } from './requestExecution.js'

export const startExecution = (response: ServerResponse, options: RequestExecutionOptions): void => {
  const { state, onEnded } = options
  const execution = new RequestExecution({
    ...options,
    onEnded: (ended) => {
      state.executions.delete(ended)
      onEnded(ended)
    }
  })
  state.executions.add(execution)
  response.on('close', () => execution.onCallerDisconnected())
  response.on('drain', () => execution.resume())
  state.executions.start(execution)
}
