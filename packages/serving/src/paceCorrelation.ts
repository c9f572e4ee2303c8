/**
 * How long a figure of an upstream's pace stays valid: the time constant with
 * which two figures of one upstream become independent. All upstreams of a
 * service share it, since one VM sees each of them only now and then.
 */

const initialTimeConstantMilliseconds = 300
const timeConstantRange = { minimum: 5, maximum: 60_000 } as const
/** Step of the gradient descent, and the weight of a pair in the variance; some hundred pairs determine the value. */
const learningRate = 0.15
const varianceWeight = 0.02
/** Bounds the effect of one pair, whose product of deviations has a long tail. */
const maximumGradient = 2
/** Variance below which the figures hardly differ, so that they say nothing about time. */
const minimumVariance = 1e-6

export class PaceCorrelation {
  private logTimeConstant = Math.log(initialTimeConstantMilliseconds)
  private variance = 0

  get timeConstantMilliseconds (): number {
    return Math.exp(this.logTimeConstant)
  }

  /** Correlation of two figures, by the time between them. */
  weight (ageMilliseconds: number): number {
    return Math.exp(-ageMilliseconds / this.timeConstantMilliseconds)
  }

  /** Records the deviations of two successive figures from the mean of their upstream. */
  recordPair (earlier: number, later: number, gapMilliseconds: number): void {
    const square = (earlier ** 2 + later ** 2) / 2
    this.variance = this.variance === 0 ? square : this.variance + varianceWeight * (square - this.variance)
    if (gapMilliseconds <= 0 || this.variance < minimumVariance) return
    const elapsed = gapMilliseconds / this.timeConstantMilliseconds
    const correlation = Math.exp(-elapsed)
    // Gradient of the squared error of the later deviation as predicted from the earlier one.
    const gradient = (later - correlation * earlier) * earlier / this.variance * correlation * elapsed
    const step = learningRate * Math.min(maximumGradient, Math.max(-maximumGradient, gradient))
    this.logTimeConstant = Math.min(Math.log(timeConstantRange.maximum), Math.max(Math.log(timeConstantRange.minimum), this.logTimeConstant + step))
  }
}
