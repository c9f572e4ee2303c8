/** A proxy that passes bytes on after a delay, as between two regions. */

import { connect, createServer } from 'node:net'
import { freePort, host } from './ports.mjs'

const passOn = (from, to, milliseconds) => {
  from.on('data', (bytes) => setTimeout(() => { if (!to.destroyed) to.write(bytes) }, milliseconds))
  from.on('end', () => setTimeout(() => to.end(), milliseconds))
  from.on('error', () => setTimeout(() => to.destroy(), milliseconds))
  from.on('close', () => setTimeout(() => to.destroy(), milliseconds))
}

/** Returns the port at which it listens. */
export const startDelay = async (targetPort, milliseconds) => {
  const port = await freePort()
  const server = createServer({ allowHalfOpen: true, noDelay: true }, (socket) => {
    const target = connect({ host, port: targetPort, allowHalfOpen: true, noDelay: true })
    passOn(socket, target, milliseconds)
    passOn(target, socket, milliseconds)
  })
  await new Promise((resolve) => server.listen(port, host, resolve))
  return port
}
