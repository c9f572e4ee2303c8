/**
 * All probes that `npm run capacity` runs.
 */

import { limitsCapacity } from './limitsCapacity.js'
import { heartbeatCapacity, vmListCapacity } from './linkCapacity.js'
import { membershipCapacity } from './membershipCapacity.js'
import { meteringCapacity } from './meteringCapacity.js'
import { routingCapacity } from './routingCapacity.js'
import type { CapacityProbe } from './capacityProbe.js'

export const capacityProbes: readonly CapacityProbe[] = [
  membershipCapacity,
  heartbeatCapacity,
  vmListCapacity,
  meteringCapacity,
  routingCapacity,
  limitsCapacity
]
