/**
 * One load process: runs a load plan, given as a JSON argument, and prints the
 * result. Only complete responses with status 200 count as completed.
 */

import { Pool } from 'undici'
import { routeName } from './constants.js'
import { answerLength, bodyFor } from './messages.js'
import { LoadKind } from './types.js'
import type { LoadPlan, LoadResult } from './types.js'

const millisecondsPerSecond = 1_000

class LoadRun {
  private completed = 0
  private failed = 0
  private readonly firstByte: number[] = []
  private readonly pool: Pool
  private readonly body: string
  private readonly wholeLength: number
  private readonly headers: Readonly<Record<string, string>>

  constructor (private readonly plan: LoadPlan) {
    this.pool = new Pool(plan.origin, { connections: plan.connections, pipelining: 1 })
    this.body = bodyFor(plan.kind)
    this.wholeLength = answerLength(plan.kind)
    this.headers = {
      'content-type': 'application/json', authorization: `Bearer ${plan.key}`, 'cuminvale-route': routeName
    }
  }

  async run (): Promise<LoadResult> {
    const startedAt = performance.now()
    if (this.plan.kind === LoadKind.FirstByte) await this.openLoop(startedAt)
    else await this.closedLoop(startedAt)
    const elapsedMilliseconds = performance.now() - startedAt
    await this.pool.destroy()
    return { completed: this.completed, failed: this.failed, elapsedMilliseconds, firstByteMilliseconds: this.firstByte }
  }

  private async closedLoop (startedAt: number): Promise<void> {
    const { connections, durationMilliseconds } = this.plan
    await Promise.all(Array.from({ length: connections }, async () => {
      while (performance.now() - startedAt < durationMilliseconds) await this.sendOne()
    }))
  }

  private async openLoop (startedAt: number): Promise<void> {
    const { durationMilliseconds, ratePerSecond } = this.plan
    const pending: Array<Promise<void>> = []
    for (let due = 0; due < durationMilliseconds; due += millisecondsPerSecond / ratePerSecond) {
      const wait = due - (performance.now() - startedAt)
      if (wait > 0) await new Promise((resolve) => setTimeout(resolve, wait))
      pending.push(this.sendOne())
    }
    await Promise.all(pending)
  }

  private async sendOne (): Promise<void> {
    const sentAt = performance.now()
    try {
      const answer = await this.pool.request({ path: '/v1/completions', method: 'POST', headers: this.headers, body: this.body })
      let length = 0
      for await (const chunk of answer.body) {
        if (length === 0 && this.plan.kind === LoadKind.FirstByte) this.firstByte.push(performance.now() - sentAt)
        length += (chunk as Buffer).length
      }
      if (answer.statusCode === 200 && length === this.wholeLength) this.completed += 1
      else this.failed += 1
    } catch {
      this.failed += 1
    }
  }
}

const plan = JSON.parse(process.argv[2] ?? '{}') as LoadPlan
const result = await new LoadRun(plan).run()
process.stdout.write(JSON.stringify(result) + '\n')
