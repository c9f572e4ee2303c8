/**
 * Streams of this VM's callers that have begun and weren't passed on whole yet.
 * Other VMs are told of those whose version this VM would not conclude itself:
 * when they begin, or once that changes. A VM that is to keep them from now on,
 * as one that has started again, is told of them as well.
 */

import type { Clock } from '@cuminvale/common'
import type { RoutedStream, SoftwareVersion, StreamKey, StreamOrigin } from '@cuminvale/serving'

export interface BegunStream {
  readonly origin: StreamOrigin
  readonly routed: RoutedStream
  /** How long its caller may take it up. */
  readonly lifetimeMilliseconds: number
}

export interface StreamsUnderWayOptions {
  readonly clock: Clock
  /** The version that this VM would conclude now for streams on a path. */
  readonly conclude: (routed: RoutedStream, lifetimeMilliseconds: number) => SoftwareVersion | undefined
  readonly tell: (key: StreamKey, origin: StreamOrigin) => void
}

interface StreamUnderWay extends BegunStream {
  readonly endsAt: number
  isTold: boolean
}

/** Beyond these the oldest are forgotten. */
const maximumStreamCount = 20_000

export class StreamsUnderWay {
  /** Oldest first. */
  private readonly streams = new Map<StreamKey, StreamUnderWay>()
  private toldCount = 0

  constructor (private readonly options: StreamsUnderWayOptions) {}

  add (key: StreamKey, begun: BegunStream): void {
    this.delete(key)
    const stream = { ...begun, endsAt: this.options.clock.monotonic() + begun.lifetimeMilliseconds, isTold: false }
    this.streams.set(key, stream)
    if (!this.isConcluded(stream)) this.tell(key, stream)
    const [oldest] = this.streams.keys()
    if (this.streams.size > maximumStreamCount && oldest !== undefined) this.delete(oldest)
  }

  /** Records that a stream was passed on whole, so that its caller won't take it up. */
  recordWhole (key: StreamKey): void {
    this.delete(key)
  }

  /** Tells of the streams that this VM would not conclude any more. */
  review (): void {
    this.removeEnded()
    for (const [key, stream] of this.streams) {
      if (!stream.isTold && !this.isConcluded(stream)) this.tell(key, stream)
    }
  }

  /** Whether other VMs were told of any. */
  get hasTold (): boolean {
    return this.toldCount > 0
  }

  /** Those of which other VMs were told. */
  get told (): ReadonlyArray<readonly [StreamKey, StreamOrigin]> {
    return [...this.streams].filter(([, { isTold }]) => isTold).map(([key, { origin }]) => [key, origin])
  }

  /** Removes streams that may not be taken up any more; those of a long lifetime keep later ones of a shorter one. */
  removeEnded (): void {
    const now = this.options.clock.monotonic()
    for (const [key, { endsAt }] of this.streams) {
      if (endsAt > now) return
      this.delete(key)
    }
  }

  private isConcluded ({ origin, routed, lifetimeMilliseconds }: BegunStream): boolean {
    return this.options.conclude(routed, lifetimeMilliseconds) === origin.softwareVersion
  }

  private tell (key: StreamKey, stream: StreamUnderWay): void {
    stream.isTold = true
    this.toldCount += 1
    this.options.tell(key, stream.origin)
  }

  private delete (key: StreamKey): void {
    const stream = this.streams.get(key)
    if (stream === undefined) return
    this.streams.delete(key)
    if (stream.isTold) this.toldCount -= 1
  }
}
