/**
 * All scenarios that `npm run measure` runs, one per decision.
 */

import { admissionMeasure } from './admissionMeasure.js'
import { entriesMeasure } from './entriesMeasure.js'
import { limitsMeasure } from './limitsMeasure.js'
import { ordersMeasure } from './ordersMeasure.js'
import { retriesMeasure } from './retriesMeasure.js'
import { routingMeasure } from './routingMeasure.js'
import { sendingAwayMeasure } from './sendingAwayMeasure.js'
import type { MeasureScenario } from './measureScenario.js'

export const measureScenarios: readonly MeasureScenario[] = [
  admissionMeasure,
  entriesMeasure,
  limitsMeasure,
  ordersMeasure,
  retriesMeasure,
  routingMeasure,
  sendingAwayMeasure
]
