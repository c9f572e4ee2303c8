/** HTTP header names and unit conversions that callers, VMs and upstreams share. */

export const millisecondsPerSecond = 1_000

export const headerNames = {
  vm: 'cuminvale-vm',
  requestId: 'cuminvale-request-id',
  outcome: 'cuminvale-outcome',
  ticket: 'cuminvale-ticket',
  upstream: 'cuminvale-upstream',
  forwarded: 'cuminvale-forwarded'
} as const
