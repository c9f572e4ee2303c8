/** Free TCP ports and small helpers shared by the stand-ins of the review. */

import { createServer } from 'node:net'

export const host = '127.0.0.1'

export const pause = async (milliseconds) => await new Promise((resolve) => setTimeout(resolve, milliseconds))

/** A port that nothing listens on, outside the range that outgoing connections use. */
export const freePort = async () => {
  for (;;) {
    const port = 11_000 + Math.floor(Math.random() * 20_000)
    const isFree = await new Promise((resolve) => {
      const server = createServer()
      server.once('error', () => resolve(false))
      server.listen(port, host, () => server.close(() => resolve(true)))
    })
    if (isFree) return port
  }
}

/** Removes the characters that must not stand in a log line. */
export const printable = (text) => JSON.stringify(text)
