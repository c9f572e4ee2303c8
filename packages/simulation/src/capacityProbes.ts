/**
 * Every capacity probe.
 */

import type { CapacityProbe } from './capacityProbe.js'

export const capacityProbes: readonly CapacityProbe[] = []
