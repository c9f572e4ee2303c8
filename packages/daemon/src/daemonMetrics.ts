/**
 * Prometheus metrics of the daemon on one VM, served at `/metrics`.
 */

import { Counter, Gauge, Histogram, Registry } from 'prom-client'

const firstByteBucketsSeconds = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.37, 0.75, 1.5, 5, 15]

export class DaemonMetrics {
  readonly registry = new Registry()

  readonly requests = new Counter({
    name: 'cuminvale_requests_total',
    help: 'Requests ended, by route, team and outcome',
    labelNames: ['route', 'team', 'outcome'],
    registers: [this.registry]
  })

  readonly refusals = new Counter({
    name: 'cuminvale_refusals_total',
    help: 'Requests refused, by reason',
    labelNames: ['reason'],
    registers: [this.registry]
  })

  readonly forwards = new Counter({
    name: 'cuminvale_sent_away_total',
    help: 'Requests forwarded to another VM, by region',
    labelNames: ['region'],
    registers: [this.registry]
  })

  readonly retries = new Counter({
    name: 'cuminvale_retries_total', help: 'Attempts after the first', registers: [this.registry]
  })

  readonly invariantViolations = new Counter({
    name: 'cuminvale_invariant_violations_total',
    help: 'Invariants found violated',
    labelNames: ['invariant'],
    registers: [this.registry]
  })

  readonly firstByteSeconds = new Histogram({
    name: 'cuminvale_first_byte_seconds',
    help: 'Time from the whole request to the first byte of the answer',
    labelNames: ['route'],
    buckets: firstByteBucketsSeconds,
    registers: [this.registry]
  })

  readonly queueLength = new Gauge({
    name: 'cuminvale_queue_length', help: 'Requests waiting for an upstream', registers: [this.registry]
  })

  readonly revision = new Gauge({
    name: 'cuminvale_configuration_revision', help: 'Revision in force', registers: [this.registry]
  })
}
