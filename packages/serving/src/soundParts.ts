/**
 * Parts of prompts with which upstreams have completed requests. Above the
 * maximum number, the least recently confirmed are forgotten first.
 */

export class SoundParts {
  private readonly completedAtByKey = new Map<string, number>()

  constructor (private readonly maximumCount: number) {}

  record (key: string, at: number): void {
    const latest = Math.max(at, this.completedAtByKey.get(key) ?? -Infinity)
    this.completedAtByKey.delete(key)
    this.completedAtByKey.set(key, latest)
    if (this.completedAtByKey.size <= this.maximumCount) return
    for (const oldest of this.completedAtByKey.keys()) {
      this.completedAtByKey.delete(oldest)
      if (this.completedAtByKey.size <= this.maximumCount) return
    }
  }

  /** Monotonic time of the last completion; undefined if none is known. */
  completedAt (key: string): number | undefined {
    return this.completedAtByKey.get(key)
  }
}
