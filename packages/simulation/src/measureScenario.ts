/**
 * Types of the scenarios that `npm run measure` runs. Each scenario runs one
 * decision under each of its policies, with identical seeded arrivals, on a
 * virtual clock.
 */

export const MeasuredDeployment = { Cooperativa: 'cooperativa', Talahib: 'talahib' } as const
export type MeasuredDeployment = typeof MeasuredDeployment[keyof typeof MeasuredDeployment]

/** Metrics of one policy in one scenario; null if the scenario does not measure the metric. */
export interface MeasureRow {
  readonly decision: string
  readonly policy: string
  readonly scenario: string
  /**
   * Upstream seconds per thousand useful tokens; in the `retries` decision,
   * upstream attempts per served request.
   */
  readonly cost: number | null
  /** 99th percentile: of the time to first token, of the admission wait in `limits`, of the latency in `retries`. */
  readonly tailLatencyMilliseconds: number | null
  /** Share of requests that ran in a region other than the one they arrived in. */
  readonly sentAwayShare: number | null
  /** Minimum over the teams of the served share of within-plan work. */
  readonly worstTeamShare: number | null
  /** Share of within-rate requests that were refused. */
  readonly wrongfulRefusalShare: number | null
  /** Largest excess of tokens spent in any window over burst + rate x window length; 0 if there is none. */
  readonly overspendTokens: number | null
  /** Share of orders that end with the outcome unknown to the caller; set by the `orders` decision only. */
  readonly unknownOutcomeShare?: number | null
}

export interface MeasureScenario {
  readonly decision: string
  readonly run: (deployment: MeasuredDeployment, seed: number) => readonly MeasureRow[] | Promise<readonly MeasureRow[]>
}
