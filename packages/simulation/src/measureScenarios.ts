/**
 * Every measured scenario, by decision.
 */

import type { MeasureScenario } from './measureScenario.js'

export const measureScenarios: readonly MeasureScenario[] = []
