/**
 * What capacity probes share: processor time, live heap, and the size of a
 * message on the wire.
 */

import { fitLine, valueAt } from './linearFit.js'
import type { CapacityFits, CapacityRow, CapacitySample } from './capacityProbe.js'

const kilobytes = 1_000
const megabytes = 1_000_000

/** Headers of IPv4, of TCP with timestamps, and of a masked WebSocket frame. */
const frameHeaderBytes = 20 + 32 + 6

export const bytesOfFrame = (payloadBytes: number): number => payloadBytes + frameHeaderBytes

/** Microseconds of processor time, user and system, that the work takes. */
export const processorShare = (work: () => void): number => {
  const before = process.cpuUsage()
  work()
  const spent = process.cpuUsage(before)
  return spent.user + spent.system
}

const liveHeap = (): number => {
  const collect = globalThis.gc
  if (collect === undefined) throw new Error('run under --expose-gc')
  collect()
  collect()
  return process.memoryUsage().heapUsed
}

/** Live heap that building something adds, and the thing itself. */
export const measureHeap = <Held>(build: () => Held): { readonly bytes: number, readonly held: Held } => {
  const before = liveHeap()
  const held = build()
  return { bytes: Math.max(0, liveHeap() - before), held }
}

const microsecondsPerCorePercent = 10_000

const fitOf = (samples: readonly CapacitySample[], field: keyof CapacityFits) =>
  fitLine(samples.map((sample) => ({ x: sample.size, y: sample[field] })))

export interface RowOptions {
  readonly mechanism: string
  readonly carriedBy: string
  readonly samples: readonly CapacitySample[]
  /** The size at the target. */
  readonly size: number
}

/** Works a row out from the lines through its samples. */
export const capacityRowOf = ({ mechanism, carriedBy, samples, size }: RowOptions): CapacityRow => {
  const fits: CapacityFits = {
    stateBytes: fitOf(samples, 'stateBytes'),
    bytesPerSecond: fitOf(samples, 'bytesPerSecond'),
    processorMicrosecondsPerSecond: fitOf(samples, 'processorMicrosecondsPerSecond')
  }
  return {
    mechanism,
    perNodeCorePercent: valueAt(fits.processorMicrosecondsPerSecond, size) / microsecondsPerCorePercent,
    perNodeMegabytes: valueAt(fits.stateBytes, size) / megabytes,
    perNodeKilobytesPerSecond: valueAt(fits.bytesPerSecond, size) / kilobytes,
    carriedBy,
    samples,
    fits
  }
}
