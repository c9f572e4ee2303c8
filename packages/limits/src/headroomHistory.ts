/**
 * The smallest gap between a bucket's level and its capacity since each
 * charge. A refund may raise the level by no more than that: had the charge
 * been smaller from the start, the rest would have overflowed.
 */

interface HeadroomMark {
  readonly fromCharge: number
  headroom: number
}

const maximumMarks = 64

export class HeadroomHistory {
  /** Ascending in both fields; each mark covers the charges from its own to the next mark's. */
  private readonly marks: HeadroomMark[] = []

  /** Notes the headroom now; it bounds every earlier charge. */
  record (headroom: number): void {
    let fromCharge: number | undefined
    for (let last = this.marks.at(-1); last !== undefined && last.headroom >= headroom; last = this.marks.at(-1)) {
      fromCharge = last.fromCharge
      this.marks.pop()
    }
    if (fromCharge !== undefined) this.marks.push({ fromCharge, headroom })
  }

  /** Starts the history of a charge that has just been taken. */
  open (charge: number, headroom: number): void {
    this.record(headroom)
    const last = this.marks.at(-1)
    if (last?.headroom === headroom) return
    this.marks.push({ fromCharge: charge, headroom })
    // The charges of the dropped mark fall under an older, smaller headroom.
    if (this.marks.length > maximumMarks) this.marks.splice(1, 1)
  }

  /** Smallest headroom since a charge; none where the charge is unknown. */
  since (charge: number): number {
    let low = 0
    let high = this.marks.length
    while (low < high) {
      const middle = (low + high) >> 1
      if ((this.marks[middle]?.fromCharge ?? Infinity) <= charge) low = middle + 1
      else high = middle
    }
    return this.marks[low - 1]?.headroom ?? 0
  }

  /** Lowers every headroom by a refund. */
  refund (tokens: number): void {
    for (const mark of this.marks) mark.headroom = Math.max(0, mark.headroom - tokens)
  }
}
