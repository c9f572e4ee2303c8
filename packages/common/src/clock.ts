/**
 * The clock that is passed to time-dependent code. Production and tests use
 * the runtime's clock, which test runners pause and advance. A simulated VM
 * wraps it in a clock that drifts or is suspended.
 */

export interface Clock {
  /** Milliseconds since an arbitrary start; never decreases. For durations and leases. */
  monotonic (): number
  /** Milliseconds since the Unix epoch, for times shown to people or sent to other VMs. */
  wall (): number
}

export const runtimeClock: Clock = {
  monotonic: () => performance.now(),
  wall: () => Date.now()
}
