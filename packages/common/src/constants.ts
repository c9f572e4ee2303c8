/** Header names and units shared by callers, VMs and upstreams. */

export const millisecondsPerSecond = 1_000

export const headerNames = {
  vm: 'cuminvale-vm',
  requestId: 'cuminvale-request-id',
  outcome: 'cuminvale-outcome',
  ticket: 'cuminvale-ticket',
  upstream: 'cuminvale-upstream',
  forwarded: 'cuminvale-forwarded'
} as const
