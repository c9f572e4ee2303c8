/**
 * `npm run benchmark [-- --json]`: compares the gateway with a minimal proxy on
 * the same upstreams, in alternating rounds. Exit code 1 if a throughput share
 * is below the target or a response was not complete.
 */

import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { runLoad, startServer, stopProcess } from './childProcess.js'
import {
  connectionsPerLoadProcess, eventsPerStream, firstByteConnections, firstByteMilliseconds, firstByteRatePerSecond,
  loadProcessCount, roundCount, roundMilliseconds, targetShare, upstreamProcessCount, warmUpMilliseconds
} from './constants.js'
import { residentMegabytes, startGateway } from './gatewayProcess.js'
import { completedPerSecond, failedCount, median, percentile } from './summary.js'
import { LoadKind } from './types.js'
import type { GatewayProcess } from './gatewayProcess.js'
import type { LoadResult } from './types.js'

interface Subject {
  readonly name: string
  readonly origin: string
  readonly key: string
}

interface Subjects {
  readonly origins: readonly string[]
  readonly bare: Subject
  readonly gateway: Subject
}

interface Throughput {
  readonly kind: LoadKind
  readonly bare: number
  readonly gateway: number
  readonly share: number
  readonly ceiling: number
  readonly failed: number
}

const throughputLoad = async (subject: Subject, kind: LoadKind, durationMilliseconds: number): Promise<readonly LoadResult[]> => {
  const plan = { ...subject, kind, durationMilliseconds, connections: connectionsPerLoadProcess, ratePerSecond: 0 }
  return await Promise.all(Array.from({ length: loadProcessCount }, async () => await runLoad(plan)))
}

/** Throughput without a proxy: each load process calls its own upstream directly. */
const measureCeiling = async (origins: readonly string[], kind: LoadKind): Promise<number> => {
  const results = await Promise.all(origins.map(async (origin) => await runLoad({
    origin, key: '', kind, durationMilliseconds: roundMilliseconds, connections: connectionsPerLoadProcess, ratePerSecond: 0
  })))
  return completedPerSecond(results) * unitsPerResponse(kind)
}

const unitsPerResponse = (kind: LoadKind): number => kind === LoadKind.Streamed ? eventsPerStream : 1

/** Rounds alternate between the subjects, so that other load on the machine slows both. */
const compareThroughput = async ({ origins, bare, gateway }: Subjects, kind: LoadKind): Promise<Throughput> => {
  const ceiling = await measureCeiling(origins, kind)
  for (const subject of [bare, gateway]) await throughputLoad(subject, kind, warmUpMilliseconds)
  const rates: { bare: number[], gateway: number[] } = { bare: [], gateway: [] }
  let failed = 0
  for (let round = 0; round < roundCount; round += 1) {
    const bareResults = await throughputLoad(bare, kind, roundMilliseconds)
    const gatewayResults = await throughputLoad(gateway, kind, roundMilliseconds)
    rates.bare.push(completedPerSecond(bareResults) * unitsPerResponse(kind))
    rates.gateway.push(completedPerSecond(gatewayResults) * unitsPerResponse(kind))
    failed += failedCount([...bareResults, ...gatewayResults])
  }
  const [bareRate, gatewayRate] = [median(rates.bare), median(rates.gateway)]
  return { kind, bare: bareRate, gateway: gatewayRate, share: gatewayRate / bareRate, ceiling, failed }
}

interface FirstByte {
  readonly p50: number
  readonly p99: number
  readonly failed: number
}

const measureFirstByte = async (subject: Subject): Promise<FirstByte> => {
  const result = await runLoad({
    ...subject,
    kind: LoadKind.FirstByte,
    connections: firstByteConnections,
    durationMilliseconds: firstByteMilliseconds,
    ratePerSecond: firstByteRatePerSecond
  })
  const samples = result.firstByteMilliseconds
  return { p50: percentile(samples, 0.5), p99: percentile(samples, 0.99), failed: result.failed }
}

const measure = async (origins: readonly string[], bare: Subject, gateway: GatewayProcess) => {
  const subject = { name: 'gateway', origin: gateway.origin, key: gateway.key }
  const subjects = { origins, bare, gateway: subject }
  const residentAfterStart = residentMegabytes(gateway.child)
  const throughputs = [await compareThroughput(subjects, LoadKind.Small), await compareThroughput(subjects, LoadKind.Streamed)]
  const [bareFirstByte, gatewayFirstByte] = [await measureFirstByte(bare), await measureFirstByte(subject)]
  return {
    throughputs,
    firstByteMilliseconds: { bare: bareFirstByte, gateway: gatewayFirstByte },
    addedFirstByteMilliseconds: {
      p50: gatewayFirstByte.p50 - bareFirstByte.p50, p99: gatewayFirstByte.p99 - bareFirstByte.p99
    },
    residentMegabytes: { listsLoaded: residentAfterStart, afterLoad: residentMegabytes(gateway.child) }
  }
}

type Report = Awaited<ReturnType<typeof measure>>

const unitLabels: Record<string, string> = { [LoadKind.Small]: 'small requests/s', [LoadKind.Streamed]: 'streamed events/s' }

const printReport = (report: Report): void => {
  const writeLine = (text: string): void => { process.stdout.write(text + '\n') }
  writeLine(`${''.padEnd(28)}${'bare'.padStart(12)}${'gateway'.padStart(12)}${'share'.padStart(9)}   target ${targetShare}`)
  for (const { kind, bare, gateway, share, ceiling, failed } of report.throughputs) {
    const verdict = share >= targetShare ? 'ok' : 'BELOW'
    writeLine(`${(unitLabels[kind] ?? kind).padEnd(28)}${bare.toFixed(0).padStart(12)}${gateway.toFixed(0).padStart(12)}${share.toFixed(2).padStart(9)}   ${verdict}, ${failed} incomplete responses; ${ceiling.toFixed(0)} without a proxy`)
  }
  const { bare, gateway } = report.firstByteMilliseconds
  const added = report.addedFirstByteMilliseconds
  writeLine(`${'first byte p50, ms'.padEnd(28)}${bare.p50.toFixed(2).padStart(12)}${gateway.p50.toFixed(2).padStart(12)}   added ${added.p50.toFixed(2)} at ${firstByteRatePerSecond} requests/s`)
  writeLine(`${'first byte p99, ms'.padEnd(28)}${bare.p99.toFixed(2).padStart(12)}${gateway.p99.toFixed(2).padStart(12)}   added ${added.p99.toFixed(2)}`)
  writeLine(`${'resident memory, MB'.padEnd(28)}${''.padStart(12)}${report.residentMegabytes.listsLoaded.toFixed(0).padStart(12)}   with the documents loaded; ${report.residentMegabytes.afterLoad.toFixed(0)} after the load`)
}

const meetsTargets = (report: Report): boolean =>
  report.throughputs.every(({ share, failed }) => share >= targetShare && failed === 0) &&
  report.firstByteMilliseconds.bare.failed + report.firstByteMilliseconds.gateway.failed === 0

const run = async (): Promise<void> => {
  const { values } = parseArgs({ options: { json: { type: 'boolean', default: false } } })
  const directory = mkdtempSync(join(tmpdir(), 'cuminvale-benchmark-'))
  const upstreams = await Promise.all(Array.from({ length: upstreamProcessCount }, async () => await startServer('upstreamMain')))
  const origins = upstreams.map(({ origin }) => origin)
  const bare = await startServer('bareMain', origins)
  const gateway = await startGateway(origins, directory)
  try {
    const report = await measure(origins, { name: 'bare', origin: bare.origin, key: gateway.key }, gateway)
    if (values.json) process.stdout.write(JSON.stringify(report, null, 2) + '\n')
    else printReport(report)
    process.exitCode = meetsTargets(report) ? 0 : 1
  } finally {
    await Promise.all([...upstreams, bare, gateway].map(async ({ child }) => await stopProcess(child)))
    await gateway.stop()
    rmSync(directory, { recursive: true, force: true })
  }
}

await run()
