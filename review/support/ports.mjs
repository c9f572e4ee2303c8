/** Free TCP ports and small helpers shared by the stand-ins of the review. */

import { createServer } from 'node:net'

export const host = '127.0.0.1'

export const pause = async (milliseconds) => await new Promise((resolve) => setTimeout(resolve, milliseconds))

/** Cases that run side by side look for ports in different ranges. */
const portCount = 300
const rangeCount = 66
const firstPort = 11_000 + (process.pid % rangeCount) * portCount
const chosen = new Set()

/** A port that nothing listens on, outside the range that outgoing connections use, and that was not returned before. */
export const freePort = async () => {
  for (;;) {
    const port = firstPort + Math.floor(Math.random() * portCount)
    if (chosen.has(port)) continue
    chosen.add(port)
    const isFree = await new Promise((resolve) => {
      const server = createServer()
      server.once('error', () => resolve(false))
      server.listen(port, host, () => server.close(() => resolve(true)))
    })
    if (isFree) return port
  }
}
