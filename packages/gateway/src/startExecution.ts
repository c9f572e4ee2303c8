/**
 * Starts a RequestExecution whose answer goes to an HTTP response, of a caller
 * or of a VM that forwarded the request. When the connection closes, the
 * execution ends too.
 */

import { Execution } from './execution.js'
import type { ServerResponse } from 'node:http'
import type { ExecutionOptions } from './execution.js'

export const startExecution = (response: ServerResponse, options: ExecutionOptions): void => {
  const { state, onOver } = options
  const execution = new Execution({
    ...options,
    onOver: (ended) => {
      state.executions.delete(ended)
      onOver(ended)
    }
  })
  state.executions.add(execution)
  response.on('close', () => execution.callerLeft())
  response.on('drain', () => execution.resume())
  execution.start()
}
