import { runtimeClock } from '@cuminvale/common'
import { describe, expect, it } from 'vitest'
import { callGateway, sealedHead, silentLog, startTestGateway, startUpstream, testDocument, testRoute, wait } from './testSupport.js'
import type { LogFields } from '@cuminvale/logs'

const answerMilliseconds = 3_000

describe.concurrent('a gateway in which a step of the stop throws', () => {
  // Guards against an exit at once, with requests under way.
  it.each([
    ['telling the other VMs', 'links', 'tick'],
    ['closing idle connections', 'callerServer', 'closeIdle'],
    ['the end of listening', 'callerServer', 'stopListening'],
    ['the departure from the other VMs', 'links', 'leave']
  ] as const)('waits for its requests, logs the error and ends (%s)', async (_step, owner, member) => {
    const errors: LogFields[] = []
    const log = { ...silentLog, error: (event: string, fields: LogFields = {}) => { errors.push({ event, ...fields }) } }
    const upstream = await startUpstream('u0', (request, response) => {
      setTimeout(() => response.writeHead(200, sealedHead(request)).end('done'), answerMilliseconds)
    })
    const { gateway, port, stop } = await startTestGateway(testDocument([testRoute()]), [upstream], log)
    const component = Reflect.get(gateway, owner) as Record<string, (options?: { readonly isUrgent?: boolean }) => unknown>
    const step = component[member]
    // Other ticks than that of the stop go on.
    component[member] = (options) => {
      if (member === 'tick' && options?.isUrgent !== true) return step?.call(component, options)
      throw new Error('broken step')
    }
    const answer = callGateway({ port, path: '/orders/1' })
    await wait(100)
    const startedAt = runtimeClock.monotonic()
    await gateway.leave()
    const leftAfter = runtimeClock.monotonic() - startedAt
    expect(await answer).toMatchObject({ status: 200, body: 'done' })
    expect(leftAfter).toBeGreaterThan(answerMilliseconds - 200)
    expect(errors).toMatchObject([{ event: 'leave-step-failed', detail: expect.stringContaining('broken step') as string }])
    stop()
  })
})
