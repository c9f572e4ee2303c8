/**
 * One load process: runs a load plan, given as a JSON argument, and prints the
 * result. Only complete responses with status 200 count as completed.
 */

import { Pool } from 'undici'
import { routeName } from './constants.js'
import { responseBytes, requestBody } from './messages.js'
import { LoadKind } from './types.js'
import type { LoadPlan, LoadResult } from './types.js'

const millisecondsPerSecond = 1_000

class LoadRun {
  private completed = 0
  private failed = 0
  private readonly firstByteSamples: number[] = []
  private readonly pool: Pool
  private readonly body: string
  private readonly expectedBytes: number
  private readonly headers: Readonly<Record<string, string>>

  constructor (private readonly plan: LoadPlan) {
    this.pool = new Pool(plan.origin, { connections: plan.connections, pipelining: 1 })
    this.body = requestBody(plan.kind)
    this.expectedBytes = responseBytes(plan.kind)
    this.headers = {
      'content-type': 'application/json', authorization: `Bearer ${plan.key}`, 'cuminvale-route': routeName
    }
  }

  async run (): Promise<LoadResult> {
    const startedAt = performance.now()
    if (this.plan.kind === LoadKind.FirstByte) await this.runOpenLoop(startedAt)
    else await this.runClosedLoop(startedAt)
    const elapsedMilliseconds = performance.now() - startedAt
    await this.pool.destroy()
    return { completed: this.completed, failed: this.failed, elapsedMilliseconds, firstByteMilliseconds: this.firstByteSamples }
  }

  private async runClosedLoop (startedAt: number): Promise<void> {
    const { connections, durationMilliseconds } = this.plan
    await Promise.all(Array.from({ length: connections }, async () => {
      while (performance.now() - startedAt < durationMilliseconds) await this.sendOne()
    }))
  }

  private async runOpenLoop (startedAt: number): Promise<void> {
    const { durationMilliseconds, ratePerSecond } = this.plan
    const pending: Array<Promise<void>> = []
    for (let dueMilliseconds = 0; dueMilliseconds < durationMilliseconds; dueMilliseconds += millisecondsPerSecond / ratePerSecond) {
      const waitMilliseconds = dueMilliseconds - (performance.now() - startedAt)
      if (waitMilliseconds > 0) await new Promise((resolve) => setTimeout(resolve, waitMilliseconds))
      pending.push(this.sendOne())
    }
    await Promise.all(pending)
  }

  private async sendOne (): Promise<void> {
    const sentAt = performance.now()
    try {
      const answer = await this.pool.request({ path: '/v1/completions', method: 'POST', headers: this.headers, body: this.body })
      let receivedBytes = 0
      for await (const chunk of answer.body) {
        if (receivedBytes === 0 && this.plan.kind === LoadKind.FirstByte) this.firstByteSamples.push(performance.now() - sentAt)
        receivedBytes += (chunk as Buffer).length
      }
      if (answer.statusCode === 200 && receivedBytes === this.expectedBytes) this.completed += 1
      else this.failed += 1
    } catch {
      this.failed += 1
    }
  }
}

const plan = JSON.parse(process.argv[2] ?? '{}') as LoadPlan
const result = await new LoadRun(plan).run()
process.stdout.write(JSON.stringify(result) + '\n')
