/**
 * What `npm run measure` runs: one decision under each of its policies, with
 * the same seeded arrivals, on a virtual clock.
 */

export const MeasuredDeployment = { Cooperativa: 'cooperativa', Talahib: 'talahib' } as const
export type MeasuredDeployment = typeof MeasuredDeployment[keyof typeof MeasuredDeployment]

/** The five measures of one policy in one scenario; null where the scenario says nothing of one. */
export interface MeasureRow {
  readonly decision: string
  readonly policy: string
  readonly scenario: string
  /** Upstream seconds spent for each thousand useful tokens. */
  readonly cost: number | null
  /** 99th percentile of the time to the first token. */
  readonly tailLatencyMilliseconds: number | null
  /** Share of requests that ran in another region than they arrived in. */
  readonly sentAwayShare: number | null
  /** Smallest share, over teams, of within-plan work that was served. */
  readonly worstTeamShare: number | null
  /** Share of within-rate requests that were refused. */
  readonly wrongfulRefusalShare: number | null
  /** Tokens spent over burst + rate x window, at the worst window; 0 where never over. */
  readonly overspendTokens: number | null
  /** Share of orders whose caller ends with the outcome unknown; only where orders are measured. */
  readonly unknownOutcomeShare?: number | null
}

export interface MeasureScenario {
  readonly decision: string
  readonly run: (deployment: MeasuredDeployment, seed: number) => readonly MeasureRow[] | Promise<readonly MeasureRow[]>
}
