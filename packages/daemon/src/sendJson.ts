/**
 * JSON responses of the daemon's endpoints.
 */

import type { ServerResponse } from 'node:http'

export const sendJson = (response: ServerResponse, status: number, value: unknown): void => {
  const body = JSON.stringify(value)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
  response.end(body)
}
