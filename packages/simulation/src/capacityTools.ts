/**
 * Helpers of the capacity probes: they measure processor time and live heap,
 * compute the size of a message on the wire, and extrapolate samples.
 */

import { fitLine, valueAt } from './linearFit.js'
import type { CapacityFits, CapacityRow, CapacitySample } from './capacityProbe.js'

const bytesPerKilobyte = 1_000
const bytesPerMegabyte = 1_000_000

/** Headers of IPv4 (20), of TCP with timestamps (32), and of a masked WebSocket frame with a short payload (6). */
const frameHeaderBytes = 20 + 32 + 6

export const bytesOnWire = (payloadBytes: number): number => payloadBytes + frameHeaderBytes

/** Runs the work and returns its processor time, user and system, in microseconds. */
export const measureProcessorMicroseconds = (work: () => void): number => {
  const before = process.cpuUsage()
  work()
  const spent = process.cpuUsage(before)
  return spent.user + spent.system
}

const liveHeapBytes = (): number => {
  const collectGarbage = globalThis.gc
  if (collectGarbage === undefined) throw new Error('measuring the live heap requires node --expose-gc')
  collectGarbage()
  collectGarbage()
  return process.memoryUsage().heapUsed
}

/** Builds a value and returns it with the live heap that it adds, in bytes. Holding the value keeps it from collection. */
export const measureHeap = <Held>(build: () => Held): { readonly bytes: number, readonly held: Held } => {
  const before = liveHeapBytes()
  const held = build()
  return { bytes: Math.max(0, liveHeapBytes() - before), held }
}

const microsecondsPerCorePercent = 10_000

const fitSamples = (samples: readonly CapacitySample[], field: keyof CapacityFits) =>
  fitLine(samples.map((sample) => ({ x: sample.size, y: sample[field] })))

export interface CapacityRowOptions {
  readonly mechanism: string
  readonly carriedBy: string
  readonly samples: readonly CapacitySample[]
  /** Size to extrapolate to, in the unit of the samples. */
  readonly size: number
}

/** Extrapolates the samples linearly to the given size. */
export const extrapolateCapacityRow = ({ mechanism, carriedBy, samples, size }: CapacityRowOptions): CapacityRow => {
  const fits: CapacityFits = {
    stateBytes: fitSamples(samples, 'stateBytes'),
    bytesPerSecond: fitSamples(samples, 'bytesPerSecond'),
    processorMicrosecondsPerSecond: fitSamples(samples, 'processorMicrosecondsPerSecond')
  }
  return {
    mechanism,
    perNodeCorePercent: valueAt(fits.processorMicrosecondsPerSecond, size) / microsecondsPerCorePercent,
    perNodeMegabytes: valueAt(fits.stateBytes, size) / bytesPerMegabyte,
    perNodeKilobytesPerSecond: valueAt(fits.bytesPerSecond, size) / bytesPerKilobyte,
    carriedBy,
    samples,
    fits
  }
}
