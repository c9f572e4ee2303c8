/**
 * The target's size, from the users' letter.
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
  configurationInForceMilliseconds: 13_000,
  controlCorePercent: 1.1,
  controlMegabytes: 32,
  controlKilobytesPerSecond: 18,
  vmFailuresPerDay: 73,
  vmRestartsPerDay: 2_500
} as const
