/**
 * Time for decision objects. Production and tests use the runtime's clock,
 * which test runners pause and advance; a simulated VM with a drifting or
 * suspended clock wraps it.
 */

export interface Clock {
  /** Milliseconds that never go back; for durations and leases. */
  monotonic (): number
  /** Milliseconds since the Unix epoch; for times shown to people or other VMs. */
  wall (): number
}

export const runtimeClock: Clock = {
  monotonic: () => performance.now(),
  wall: () => Date.now()
}
