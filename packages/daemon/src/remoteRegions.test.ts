import { toRegionId, toRouteName, toVmId } from '@cuminvale/common'
import { expect, it } from 'vitest'
import { findRemoteRegions } from './remoteRegions.js'
import type { RoutingRequest, UpstreamView } from '@cuminvale/routing'

const north = toRegionId('north')
const south = toRegionId('south')
const west = toRegionId('west')
const request = { route: toRouteName('counter'), mayCrossBorder: true, allowedRegions: [north, south] } as unknown as RoutingRequest

// Guards against a refusal in another region after a change of the configuration, where the request could have waited at home.
it('leaves out regions without a configured upstream, although they reported free slots', () => {
  const peers = () => [north, south, west].map((region) => ({ vm: toVmId(`vm-${region}`), region }))
  const regionsServedIn = (...served: readonly string[]): readonly string[] => findRemoteRegions({
    region: north,
    peers,
    regionDigests: { freeSlots: () => 4 },
    table: { servingViews: (region) => served.includes(region) ? [{} as unknown as UpstreamView] : [] }
  }, request).map(({ region }) => region)
  expect(regionsServedIn('north')).toEqual([])
  expect(regionsServedIn('north', 'south', 'west')).toEqual(['south'])
})
