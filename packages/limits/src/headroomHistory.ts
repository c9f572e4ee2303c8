/**
 * Tracks the smallest headroom, the capacity less the level, since each charge.
 * A refund may raise the level by at most that. Had the charge been smaller
 * from the start, the rest of the refunded tokens would have overflowed.
 */

interface HeadroomEntry {
  readonly firstChargeId: number
  headroom: number
}

const maximumEntries = 64

export class HeadroomHistory {
  /** Monotonic stack, ascending in both fields; each entry covers the charges from its first to the next entry's. */
  private readonly stack: HeadroomEntry[] = []

  /** Records the current headroom, which bounds the refund of every earlier charge. */
  record (headroom: number): void {
    let firstChargeId: number | undefined
    for (let last = this.stack.at(-1); last !== undefined && last.headroom >= headroom; last = this.stack.at(-1)) {
      firstChargeId = last.firstChargeId
      this.stack.pop()
    }
    if (firstChargeId !== undefined) this.stack.push({ firstChargeId, headroom })
  }

  /** Starts tracking a charge that has just been taken. */
  open (chargeId: number, headroom: number): void {
    this.record(headroom)
    const last = this.stack.at(-1)
    if (last?.headroom === headroom) return
    this.stack.push({ firstChargeId: chargeId, headroom })
    // The charges of the dropped entry are then covered by the entry before it, whose headroom is smaller.
    if (this.stack.length > maximumEntries) this.stack.splice(1, 1)
  }

  /** Smallest headroom since a charge; 0 if the charge is unknown. */
  minimumSince (chargeId: number): number {
    let low = 0
    let high = this.stack.length
    while (low < high) {
      const middle = (low + high) >> 1
      if ((this.stack[middle]?.firstChargeId ?? Infinity) <= chargeId) low = middle + 1
      else high = middle
    }
    return this.stack[low - 1]?.headroom ?? 0
  }

  /** Subtracts refunded tokens from every headroom. */
  refund (tokens: number): void {
    for (const entry of this.stack) entry.headroom = Math.max(0, entry.headroom - tokens)
  }
}
