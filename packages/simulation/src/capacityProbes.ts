/**
 * Every capacity probe.
 */

import { routingCapacity } from './routingCapacity.js'
import type { CapacityProbe } from './capacityProbe.js'

export const capacityProbes: readonly CapacityProbe[] = [
  routingCapacity
]
