/**
 * Holds new software versions down. A VM that learns of a version which a service
 * did not have lately begins no resumable stream at it for a time, as long as
 * upstreams of an earlier version serve in the region. Until then no VM has begun a
 * stream at it, whichever of them have learned of it. A stream that is taken up
 * in that time and of which nobody was told began at an earlier version, also if
 * its VM stands still, is cut off, or was killed before it learned of the new one.
 */

import type { Clock, RegionId } from '@cuminvale/common'
import type { ServiceName, SoftwareVersion } from './types.js'

/** A version of which a region has an upstream that accepts new work. */
export interface ServingVersion {
  readonly service: ServiceName
  readonly region: RegionId
  readonly softwareVersion: SoftwareVersion
}

/** A moment by both clocks of this VM: the steady one stands still while the VM is suspended. */
export interface ClockReading {
  readonly monotonic: number
  readonly wall: number
}

interface Introduction {
  /** When this VM learned of the version. */
  readonly learnedAt: number
  /** When the records did not hold the version yet: no VM can have learned of it before. */
  readonly earliest: ClockReading
  /** When the version was announced last before; -Infinity if it never was. */
  readonly formerAt: number
  /** Regions in which it has served since. */
  readonly regions: Set<RegionId>
}

export interface UnusedVersionsOptions {
  /** Time since which streams may have begun that go on now. */
  readonly since: number
  /** Time since which all VMs that may be running hold new versions down. */
  readonly isHeldSince: number
}

/** Milliseconds since a moment, by the clock that shows more of them. */
export const longestSince = (clock: Clock, { monotonic, wall }: ClockReading): number => Math.max(clock.monotonic() - monotonic, clock.wall() - wall)

export class VersionHoldDown {
  private readonly introductions = new Map<ServiceName, Map<SoftwareVersion, Introduction>>()
  /** For each service and region, the versions that serve there, and since when without a break. */
  private servingSince: ReadonlyMap<string, ReadonlyMap<SoftwareVersion, number>> = new Map()

  /** A version is held down for the time within which running VMs learn of it, or know that they may lack a change. */
  constructor (private readonly clock: Clock, private readonly lagMilliseconds: number) {}

  /** Records that this VM learned of a version. One that was announced a moment before, as between two records of its upstreams, is not new. */
  learn (service: ServiceName, version: SoftwareVersion, { earliest, formerAt }: Pick<Introduction, 'earliest' | 'formerAt'>): void {
    const now = this.clock.monotonic()
    if (now - formerAt <= this.lagMilliseconds) return
    this.removeEnded(now)
    const versions = this.introductions.get(service) ?? new Map<SoftwareVersion, Introduction>()
    this.introductions.set(service, versions.set(version, { learnedAt: now, earliest, formerAt, regions: new Set() }))
  }

  /** Removes versions that are new no longer, since records may name any number of them. */
  private removeEnded (now: number): void {
    for (const [service, versions] of this.introductions) {
      for (const [version, { learnedAt }] of versions) {
        if (now - learnedAt >= this.lagMilliseconds) versions.delete(version)
      }
      if (versions.size === 0) this.introductions.delete(service)
    }
  }

  syncServing (serving: readonly ServingVersion[]): void {
    const now = this.clock.monotonic()
    const servingSince = new Map<string, Map<SoftwareVersion, number>>()
    for (const { service, region, softwareVersion } of serving) {
      const key = placeKey(service, region)
      const versions = servingSince.get(key) ?? new Map<SoftwareVersion, number>()
      servingSince.set(key, versions.set(softwareVersion, this.servingSince.get(key)?.get(softwareVersion) ?? now))
      this.introductions.get(service)?.get(softwareVersion)?.regions.add(region)
    }
    this.servingSince = servingSince
  }

  /** Whether this VM must begin no stream at a version in a region: it is new, and an earlier one serves there. */
  isHeld (service: ServiceName, region: RegionId, version: SoftwareVersion): boolean {
    if (!this.isNew(service, version)) return false
    return [...this.servingSince.get(placeKey(service, region))?.keys() ?? []].some((other) => !this.isNew(service, other))
  }

  /** Of the versions that a service had lately, those at which streams may have begun: the earlier one, if it is certain that the others are still unused. */
  usedVersions (service: ServiceName, versions: readonly SoftwareVersion[], options: UnusedVersionsOptions): readonly SoftwareVersion[] {
    const unused = versions.flatMap((version) => this.findUnused(service, version, options) ?? [])
    const used = versions.filter((version) => this.findUnused(service, version, options) === undefined)
    const [only] = used
    if (only === undefined || used.length > 1) return versions
    return unused.every(({ earliest, regions }) => regions.size > 0 && [...regions].every((region) => this.hasServedSince(service, region, only, earliest.monotonic))) ? used : versions
  }

  /** The introduction of a version that no VM has used yet. */
  private findUnused (service: ServiceName, version: SoftwareVersion, { since, isHeldSince }: UnusedVersionsOptions): Introduction | undefined {
    const introduction = this.introductions.get(service)?.get(version)
    if (introduction === undefined || longestSince(this.clock, introduction.earliest) >= this.lagMilliseconds) return undefined
    const { earliest: { monotonic }, formerAt } = introduction
    // Others may have learned later that it had left, and may have started without knowing that it is new.
    const isNewToAll = formerAt < Math.min(since, monotonic - 2 * this.lagMilliseconds) && isHeldSince <= monotonic - this.lagMilliseconds
    return isNewToAll ? introduction : undefined
  }

  private isNew (service: ServiceName, version: SoftwareVersion): boolean {
    const introduction = this.introductions.get(service)?.get(version)
    return introduction !== undefined && this.clock.monotonic() - introduction.learnedAt < this.lagMilliseconds
  }

  private hasServedSince (service: ServiceName, region: RegionId, version: SoftwareVersion, at: number): boolean {
    const since = this.servingSince.get(placeKey(service, region))?.get(version)
    return since !== undefined && since <= at
  }
}

const placeKey = (service: ServiceName, region: RegionId): string => `${service}\n${region}`
