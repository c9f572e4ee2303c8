import { createServer } from 'node:http'
import { ManualClock } from '@cuminvale/common'
import { WebSocketServer } from 'ws'
import { expect, it, vi } from 'vitest'
import { OutgoingLink, linkPath } from './outgoingLink.js'
import { linkRetryIntervalMilliseconds, startingLinkRetryIntervalMilliseconds } from './constants.js'
import { freePort, listen, silentLog } from './testSupport.js'

const host = '127.0.0.1'
const maximumSteps = 20

/** Milliseconds of the clock from the start of the other VM until the link to it is open. */
const connectAfterStart = async (retryIntervalMilliseconds: number): Promise<number> => {
  const clock = new ManualClock()
  const port = await freePort()
  const link = new OutgoingLink({
    address: `${host}:${port}`, clock, log: silentLog, onOpen: () => { /* read below */ }, onClosed: () => { /* read below */ }, onMessage: () => { /* none is sent */ }
  })
  const step = async (): Promise<void> => {
    clock.advance(50)
    link.maintain(retryIntervalMilliseconds)
    await new Promise((resolve) => setTimeout(resolve, 30))
  }
  await step()
  const server = createServer()
  const webSocketServer = new WebSocketServer({ server, path: linkPath })
  await new Promise<void>((resolve) => server.listen(port, host, resolve))
  const startedAt = clock.monotonic()
  for (let steps = 0; steps < maximumSteps && !link.isOpen; steps += 1) await step()
  const milliseconds = clock.monotonic() - startedAt
  link.close()
  webSocketServer.close()
  server.close()
  return milliseconds
}

it('links soon to a VM that starts a little later, if VMs are starting', async () => {
  expect(await connectAfterStart(startingLinkRetryIntervalMilliseconds)).toBeLessThan(linkRetryIntervalMilliseconds - 100)
})

// Guards against a link that is no longer needed and was logged as a lost one.
it('logs whether a link was lost or is no longer needed', async () => {
  const events: string[] = []
  const record = (event: string): void => { events.push(event) }
  const server = createServer()
  const webSocketServer = new WebSocketServer({ server, path: linkPath })
  const address = `${host}:${await listen(server)}`
  const openLink = async (): Promise<OutgoingLink> => {
    let link: OutgoingLink | undefined
    await new Promise<void>((resolve) => {
      link = new OutgoingLink({ address, clock: new ManualClock(), log: { info: record, warn: record, error: record }, onOpen: resolve, onClosed: () => { /* logged */ }, onMessage: () => { /* none is sent */ } })
      link.maintain(0)
    })
    return link as OutgoingLink
  }
  const first = await openLink()
  first.close()
  await openLink()
  for (const socket of webSocketServer.clients) socket.terminate()
  await vi.waitFor(() => expect(events).toEqual(['link-up', 'link-closed', 'link-up', 'link-down']))
  webSocketServer.close()
  server.close()
})
