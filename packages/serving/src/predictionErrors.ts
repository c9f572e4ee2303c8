/**
 * Errors of the predicted times to the first answer since the last report.
 */

export interface PredictionErrorSummary {
  /** The larger of observed and predicted time, divided by the smaller, minus 1. Undefined without answers. */
  readonly median: number | undefined
  readonly p90: number | undefined
}

/** Answers of one report of which the error is kept; more would not change the percentiles. */
const maximumCount = 1_024

export class PredictionErrors {
  private ratios: number[] = []

  record (observedMilliseconds: number, predictedMilliseconds: number): void {
    if (this.ratios.length >= maximumCount) return
    const ratio = Math.max(1, observedMilliseconds) / Math.max(1, predictedMilliseconds)
    this.ratios.push(Math.max(ratio, 1 / ratio) - 1)
  }

  /** The percentiles since the last call. */
  take (): PredictionErrorSummary {
    const sorted = this.ratios.sort((first, second) => first - second)
    this.ratios = []
    const at = (share: number): number | undefined => {
      const value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))]
      return value === undefined ? undefined : Math.round(value * 100) / 100
    }
    return { median: at(0.5), p90: at(0.9) }
  }
}
