import { describe, expect, it } from 'vitest'
import { toIncarnationId, toRequestId, toRouteName, toTeamId, toVmId } from '@cuminvale/common'
import { UsageAccount } from './usageAccount.js'
import { UsageMeter } from './usageMeter.js'

const request = (id: string, weight: number) => ({
  id: toRequestId(id), team: toTeamId('luzon-mowers'), route: toRouteName('dispatch'), weight, tokens: 5
})

describe('UsageMeter', () => {
  it('counts each completed request once with its weight, and ignores abandoned requests', () => {
    const meter = new UsageMeter(new UsageAccount({ vm: toVmId('vm-1'), incarnation: toIncarnationId('i') }))
    meter.begin(toRequestId('i-1'))
    meter.begin(toRequestId('i-2'))
    meter.begin(toRequestId('i-3'))
    meter.complete(request('i-1', 2))
    meter.complete(request('i-2', 3))
    meter.abandon(toRequestId('i-3'))
    expect(() => meter.complete(request('i-1', 2))).toThrow('counted-once')
    expect(meter.snapshot()).toEqual([
      { team: 'luzon-mowers', route: 'dispatch', requests: 2, weighted: 5, tokens: 10 }
    ])
  })
})
