/**
 * Size of the deployment that the gateway is designed for, with its limits,
 * as the users state them.
 */

export const target = {
  vms: 370,
  runners: 12_000,
  requestsPerSecond: 9_300,
  tokensPerSecond: 4_000_000,
  firstTokenMilliseconds: 370,
  betweenTokensMilliseconds: 29,
  homeBoundShare: 0.18,
  teams: 480,
  models: 4,
  regions: 38,
  failureDomains: 135,
  configurationChangesPerDay: 11_000,
  configurationPropagationMilliseconds: 13_000,
  controlPlaneCorePercent: 1.1,
  controlPlaneMegabytes: 32,
  controlPlaneKilobytesPerSecond: 18,
  vmFailuresPerDay: 73,
  vmRestartsPerDay: 2_500
} as const

const smallestRegionWeight = 0.25

/**
 * VM count of each region of a fleet, from the smallest to about ten times that.
 * The ratio of regions to VMs is the target's, with a minimum of three regions.
 */
export const regionSizesFor = (vms: number): readonly number[] => {
  const regions = Math.max(3, Math.round(vms * target.regions / target.vms))
  const weights = Array.from({ length: regions }, (_, index) =>
    smallestRegionWeight * 10 ** (index / Math.max(1, regions - 1)))
  const sum = weights.reduce((total, weight) => total + weight, 0)
  const sizes = weights.map((weight) => Math.max(1, Math.floor(vms * weight / sum)))
  let unassignedVms = vms - sizes.reduce((total, size) => total + size, 0)
  for (let index = regions - 1; unassignedVms > 0; index = index === 0 ? regions - 1 : index - 1) {
    sizes[index] = (sizes[index] ?? 0) + 1
    unassignedVms -= 1
  }
  return sizes
}
