/**
 * Ends an answer with a body that is known whole.
 */

import type { ServerResponse } from 'node:http'

const longestCopiedBytes = 65_536

/** Node joins a short string with the head into one write; a buffer would be a write of its own. */
export const endWithBody = (response: ServerResponse, body: Buffer): void => {
  if (body.length <= longestCopiedBytes) response.end(body.toString('latin1'), 'latin1')
  else response.end(body)
}
