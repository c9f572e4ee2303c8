/**
 * All soak suites, in the order in which they run.
 */

import { admissionSoak } from './admissionSoak.js'
import { configurationSoak } from './configurationSoak.js'
import { keysSoak } from './keysSoak.js'
import { limitsSoak } from './limitsSoak.js'
import { membershipSoak } from './membershipSoak.js'
import { meteringSoak } from './meteringSoak.js'
import { ordersSoak } from './ordersSoak.js'
import { suspicionSoak } from './suspicionSoak.js'
import { residencySoak } from './residencySoak.js'
import type { SoakSuite } from './soakSuite.js'

export const soakSuites: readonly SoakSuite[] = [
  admissionSoak,
  configurationSoak,
  keysSoak,
  membershipSoak,
  meteringSoak,
  ordersSoak,
  suspicionSoak,
  limitsSoak,
  residencySoak
]
