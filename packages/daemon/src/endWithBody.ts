/**
 * Ends a response with a complete body.
 */

import type { ServerResponse } from 'node:http'

const maximumStringBodyBytes = 65_536

/** Node sends the head and a short string body in one write, but writes a buffer separately. */
export const endWithBody = (response: ServerResponse, body: Buffer): void => {
  if (body.length <= maximumStringBodyBytes) response.end(body.toString('latin1'), 'latin1')
  else response.end(body)
}
