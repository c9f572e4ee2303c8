/**
 * Distinguishes an upstream whose process has ended from a broken connection to a live one. If the
 * process has ended, its host refuses new connections; behind a network partition nothing answers.
 */

import { connect } from 'node:net'
import { upstreamProbeTimeoutMilliseconds } from './constants.js'

const refusedCode = 'ECONNREFUSED'

export const isUpstreamDead = async (origin: string): Promise<boolean> => {
  const { hostname, port, protocol } = new URL(origin)
  const defaultPort = protocol === 'https:' ? 443 : 80
  return await new Promise((resolve) => {
    const socket = connect({ host: hostname, port: port === '' ? defaultPort : Number(port) })
    const finish = (dead: boolean): void => {
      socket.destroy()
      resolve(dead)
    }
    socket.setTimeout(upstreamProbeTimeoutMilliseconds, () => finish(false))
    socket.once('connect', () => finish(false))
    socket.once('error', (error: NodeJS.ErrnoException) => finish(error.code === refusedCode))
  })
}
