/**
 * Prometheus metrics of the gateway process.
 */

import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Finest around the latency objectives of routes, which are a few hundred milliseconds. */
const firstAnswerBucketsSeconds = [0.02, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.8, 1.2, 2, 4]

/** Spaced evenly around 1 on a logarithmic scale. */
const predictionRatioBuckets = [0.25, 0.5, 0.67, 0.8, 0.9, 1.1, 1.25, 1.5, 2, 4]

export class GatewayMetrics {
  readonly registry = new Registry()

  readonly requests = new Counter({
    name: 'cuminvale_gateway_requests_total',
    help: 'Requests of callers that ended, by kind of route and outcome',
    labelNames: ['kind', 'outcome'],
    registers: [this.registry]
  })

  readonly stopRefusals = new Counter({
    name: 'cuminvale_gateway_stop_refusals_total',
    help: 'Requests refused without being run because this VM stops, by kind of route',
    labelNames: ['kind'],
    registers: [this.registry]
  })

  readonly stopCuts = new Counter({
    name: 'cuminvale_gateway_stop_cuts_total',
    help: 'Requests under way that were ended because this VM stops, by kind of route',
    labelNames: ['kind'],
    registers: [this.registry]
  })

  readonly answerEnds = new Counter({
    name: 'cuminvale_gateway_answer_ends_total',
    help: 'Answers of upstreams and other VMs that ended as complete, by what marked their end, and whether an event was left incomplete there',
    labelNames: ['framing', 'end'],
    registers: [this.registry]
  })

  readonly pauses = new Counter({
    name: 'cuminvale_gateway_upstream_pauses_total', help: 'Answers by which an upstream asked this VM for a pause', registers: [this.registry]
  })

  readonly takenUpStreams = new Counter({
    name: 'cuminvale_gateway_taken_up_streams_total',
    help: 'Streams that callers took up, by what their version was known from: told, concluded, or unknown',
    labelNames: ['origin'],
    registers: [this.registry]
  })

  readonly limitedUpstreams = new Gauge({
    name: 'cuminvale_gateway_limited_upstreams', help: 'Upstreams that name the requests a second that they take from all VMs together', registers: [this.registry]
  })

  readonly forwards = new Counter({
    name: 'cuminvale_gateway_forwards_total', help: 'Forwards to other regions, by region and result', labelNames: ['region', 'result'], registers: [this.registry]
  })

  readonly regionShares = new Gauge({
    name: 'cuminvale_gateway_region_share_milliseconds',
    help: 'Milliseconds of work per second that this VM may forward to a region that reports its room',
    labelNames: ['region', 'service'],
    registers: [this.registry]
  })

  readonly refusals = new Counter({
    name: 'cuminvale_gateway_refusals_total',
    help: 'Requests refused before they were placed, by reason',
    labelNames: ['reason'],
    registers: [this.registry]
  })

  readonly leftBeforePlacement = new Counter({
    name: 'cuminvale_gateway_left_before_placement_total', help: 'Requests whose callers left while they waited to be placed', registers: [this.registry]
  })

  readonly refusedConnections = new Counter({
    name: 'cuminvale_gateway_refused_connections_total', help: 'New connections refused before anything was read of them', registers: [this.registry]
  })

  readonly givenWay = new Counter({
    name: 'cuminvale_gateway_given_way_total', help: 'Requests, answers and connections of callers that were given up for want of memory', registers: [this.registry]
  })

  readonly callerMemoryBytes = new Gauge({
    name: 'cuminvale_gateway_caller_memory_bytes', help: 'Memory that is held for callers, as it is counted against its limit', registers: [this.registry]
  })

  readonly turnSeconds = new Gauge({
    name: 'cuminvale_gateway_turn_seconds', help: 'Length of the last observed turn of the event loop, or the lateness of a timer', registers: [this.registry]
  })

  readonly admissionRefusals = new Counter({
    name: 'cuminvale_gateway_admission_refusals_total',
    help: 'Requests that no upstream was given since capacity was short, by rank and reason',
    labelNames: ['rank', 'reason'],
    registers: [this.registry]
  })

  readonly admissionLevel = new Gauge({
    name: 'cuminvale_gateway_admission_level',
    help: 'Share of the work asked for that is admitted, by service; 1 while capacity is not short',
    labelNames: ['service'],
    registers: [this.registry]
  })

  readonly crashSuspectRefusals = new Counter({
    name: 'cuminvale_gateway_crash_suspect_refusals_total',
    help: 'Sends that were not made since the request, or a part of its prompt, is quarantined',
    labelNames: ['kind'],
    registers: [this.registry]
  })

  readonly quarantined = new Gauge({
    name: 'cuminvale_gateway_quarantined_suspects', help: 'Requests and parts of prompts that are quarantined', registers: [this.registry]
  })

  readonly retries = new Counter({
    name: 'cuminvale_gateway_repeats_total', help: 'Sends after the first of a request', registers: [this.registry]
  })

  readonly connections = new Counter({
    name: 'cuminvale_gateway_upstream_connections_total', help: 'Connections opened to upstreams', registers: [this.registry]
  })

  readonly sourceCalls = new Counter({
    name: 'cuminvale_gateway_source_calls_total',
    help: 'Calls to the source of published records, by result',
    labelNames: ['result'],
    registers: [this.registry]
  })

  readonly coldUpstreams = new Counter({
    name: 'cuminvale_gateway_cold_upstreams_total', help: 'Upstreams that began to count as cold, by the sign that said so', labelNames: ['sign'], registers: [this.registry]
  })

  readonly inspections = new Counter({
    name: 'cuminvale_gateway_upstream_inspections_total', help: 'Inspections of upstreams whose start was unsure', registers: [this.registry]
  })

  readonly coldSends = new Counter({
    name: 'cuminvale_gateway_cold_sends_total', help: 'Requests sent to upstreams that counted as cold', registers: [this.registry]
  })

  readonly unreadableRecords = new Counter({
    name: 'cuminvale_gateway_unreadable_records_total',
    help: 'Revisions of published records that could not be used, and items of their source that name no record',
    registers: [this.registry]
  })

  readonly firstAnswerSeconds = new Histogram({
    name: 'cuminvale_gateway_first_answer_seconds',
    help: 'Time from the head of a request to the head of its answer',
    labelNames: ['kind'],
    buckets: firstAnswerBucketsSeconds,
    registers: [this.registry]
  })

  readonly predictionRatio = new Histogram({
    name: 'cuminvale_gateway_prediction_ratio',
    help: 'Observed time to the first answer of an upstream divided by the predicted one, by kind of service',
    labelNames: ['kind'],
    buckets: predictionRatioBuckets,
    registers: [this.registry]
  })

  readonly rereadTokens = new Counter({
    name: 'cuminvale_gateway_reread_tokens_total',
    help: 'Shared prompt tokens sent to an upstream that lacks them, as predicted, although another one of the region holds them',
    registers: [this.registry]
  })

  readonly version = new Gauge({
    name: 'cuminvale_gateway_configuration_version', help: 'Configuration in force', registers: [this.registry]
  })

  readonly storeEra = new Gauge({
    name: 'cuminvale_gateway_store_era', help: 'Era of the store of which the records are known', registers: [this.registry]
  })

  readonly peerFormats = new Counter({
    name: 'cuminvale_gateway_peer_formats_total',
    help: 'Links and forwards of other VMs, by the version of their message format compared to the own one',
    labelNames: ['source', 'format'],
    registers: [this.registry]
  })

  readonly peers = new Gauge({
    name: 'cuminvale_gateway_peers_heard', help: 'Other VMs heard lately', registers: [this.registry]
  })
}
