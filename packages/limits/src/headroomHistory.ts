/**
 * Tracks the smallest headroom, the capacity less the level, since each charge.
 * A refund may raise the level by at most that. Had the charge been smaller
 * from the start, the rest of the refunded tokens would have overflowed.
 */

interface HeadroomMark {
  readonly fromCharge: number
  headroom: number
}

const maximumMarks = 64

export class HeadroomHistory {
  /** Monotonic stack, ascending in both fields; each entry covers the charges from its first to the next entry's. */
  private readonly marks: HeadroomMark[] = []

  /** Records the current headroom, which bounds the refund of every earlier charge. */
  record (headroom: number): void {
    let fromCharge: number | undefined
    for (let last = this.marks.at(-1); last !== undefined && last.headroom >= headroom; last = this.marks.at(-1)) {
      fromCharge = last.fromCharge
      this.marks.pop()
    }
    if (fromCharge !== undefined) this.marks.push({ fromCharge, headroom })
  }

  /** Starts tracking a charge that has just been taken. */
  open (charge: number, headroom: number): void {
    this.record(headroom)
    const last = this.marks.at(-1)
    if (last?.headroom === headroom) return
    this.marks.push({ fromCharge: charge, headroom })
    // The charges of the dropped entry are then covered by the entry before it, whose headroom is smaller.
    if (this.marks.length > maximumMarks) this.marks.splice(1, 1)
  }

  /** Smallest headroom since a charge; 0 if the charge is unknown. */
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

  /** Subtracts refunded tokens from every headroom. */
  refund (tokens: number): void {
    for (const mark of this.marks) mark.headroom = Math.max(0, mark.headroom - tokens)
  }
}
