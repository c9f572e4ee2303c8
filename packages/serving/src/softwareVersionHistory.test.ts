import { SeededRandom } from '@cuminvale/common'
import { describe, expect, it } from 'vitest'
import { SoftwareVersionHistory } from './softwareVersionHistory.js'
import { ManualClock, announced, engine } from './testSupport.js'
import type { SoftwareVersion } from './types.js'

const lifetimeMilliseconds = 12_000
const stream = { host: 'a.example', path: '/', service: engine }
const stepMilliseconds = 250
const expiryMilliseconds = 120_000

interface ModelVm {
  history: SoftwareVersionHistory
  isUp: boolean
  /** Cut off from the store and from all other VMs. */
  isCut: boolean
  view: readonly SoftwareVersion[]
  viewAt: number
  readonly heardAt: Map<number, number>
}

interface ModelStream {
  readonly version: SoftwareVersion
  readonly startedAt: number
  /** Whether other VMs were told of it, so that a VM that is asked to take it up finds it with them. */
  isTold: boolean
}

/** VMs that read the announced versions with a delay, are cut off, and are killed alone or all at once. */
class VersionModel {
  readonly clock = new ManualClock()
  joined = 0
  concluded = 0
  unknown = 0
  private versions: readonly SoftwareVersion[] = ['v1' as SoftwareVersion]
  private versionCount = 1
  private streams: ModelStream[] = []
  private readonly random: SeededRandom
  private readonly vms: readonly ModelVm[]

  constructor (seed: number) {
    this.random = new SeededRandom(seed)
    this.vms = Array.from({ length: 5 }, () => ({ history: new SoftwareVersionHistory(this.clock), isUp: true, isCut: false, view: [], viewAt: -Infinity, heardAt: new Map() }))
  }

  step (): void {
    this.clock.advance(stepMilliseconds)
    if (this.happens(0.004)) this.release()
    if (this.happens(0.0005)) {
      this.vms.forEach((vm) => this.kill(vm))
      for (const stream of this.streams) stream.isTold = false
    }
    this.vms.forEach((vm, index) => this.stepVm(vm, index))
    this.streams = this.streams.filter(({ startedAt }) => this.now - startedAt <= lifetimeMilliseconds)
    for (const { history } of this.vms.filter(({ isUp }) => isUp)) {
      const version = history.provenVersion(stream, lifetimeMilliseconds)
      if (version === undefined) this.unknown += 1
      else this.concluded += 1
      if (version !== undefined && this.streams.some((stream) => !stream.isTold && stream.version !== version)) this.joined += 1
    }
  }

  private get now (): number {
    return this.clock.monotonic()
  }

  private happens (chance: number): boolean {
    return this.random.next() < chance
  }

  /** The next version joins the present one, replaces it at once, or is all that is left. */
  private release (): void {
    const last = this.versions.at(-1)
    const isNew = this.versions.length === 1
    if (isNew) this.versionCount += 1
    const next = `v${this.versionCount}` as SoftwareVersion
    this.versions = isNew && last !== undefined && this.happens(0.6) ? [last, next] : [next]
  }

  private stepVm (vm: ModelVm, index: number): void {
    if (!vm.isUp) {
      if (this.happens(0.1)) vm.isUp = true
      return
    }
    if (this.happens(0.001)) return this.kill(vm)
    vm.isCut = this.happens(vm.isCut ? 0.98 : 0.002)
    // Records arrive with a delay of up to 5 s.
    if (!vm.isCut && (this.now - vm.viewAt > 4_500 || this.happens(0.3))) {
      if (vm.view.join() !== this.versions.join() || vm.viewAt === -Infinity) vm.history.sync(this.versions.map((softwareVersion) => announced(softwareVersion, { softwareVersion })))
      vm.view = this.versions
      vm.viewAt = this.now
    }
    this.hear(vm, index)
    const silences = [...vm.heardAt.values()].filter((at) => this.now - at > 1_300)
    vm.history.observe({ recordAgeMilliseconds: this.now - vm.viewAt, silentSince: silences.length === 0 ? undefined : Math.min(...silences) })
    const version = vm.view[Math.floor(this.random.next() * vm.view.length)]
    if (version !== undefined) this.streams.push({ version, startedAt: this.now, isTold: vm.history.concludedVersion(stream, lifetimeMilliseconds) !== version })
  }

  private hear (vm: ModelVm, index: number): void {
    this.vms.forEach((other, otherIndex) => {
      if (otherIndex === index || vm.isCut || other.isCut || !other.isUp) return
      vm.heardAt.set(otherIndex, this.now)
      for (const known of other.heardAt.keys()) if (known !== index && !vm.heardAt.has(known)) vm.heardAt.set(known, -Infinity)
    })
    for (const [known, at] of vm.heardAt) if (at !== -Infinity && this.now - at > expiryMilliseconds) vm.heardAt.delete(known)
  }

  private kill (vm: ModelVm): void {
    Object.assign(vm, { history: new SoftwareVersionHistory(this.clock), isUp: false, isCut: false, view: [], viewAt: -Infinity })
    vm.heardAt.clear()
  }
}

describe('SoftwareVersionHistory', () => {
  // Guards against a stream that goes on at another version than its own, since a VM concluded one: after kills, cuts, delays of the records and releases in any order.
  it('proves no version while a stream of another one may go on', () => {
    const totals = { joined: 0, concluded: 0, unknown: 0 }
    for (let seed = 1; seed <= 20; seed += 1) {
      const model = new VersionModel(seed)
      for (let step = 0; step < 2_400; step += 1) model.step()
      totals.joined += model.joined
      totals.concluded += model.concluded
      totals.unknown += model.unknown
    }
    console.info(`versions that VMs conclude: ${totals.concluded} of ${totals.concluded + totals.unknown} times, ${totals.joined} wrong`)
    expect(totals.joined).toBe(0)
    expect(totals.concluded).toBeGreaterThan(1_000)
  })

  const proven = (clock: ManualClock, history: SoftwareVersionHistory): SoftwareVersion | undefined => {
    for (let passed = 0; passed < 30_000; passed += 200) {
      clock.advance(200)
      history.observe({ recordAgeMilliseconds: 0, silentSince: undefined })
    }
    return history.provenVersion(stream, lifetimeMilliseconds)
  }

  // Guards against records that seem fresh, since messages from before a suspension are read after it.
  it('proves none for a time after the VM stood still, was suspended, or the time of day jumped', () => {
    const clock = new ManualClock()
    const history = new SoftwareVersionHistory(clock)
    history.sync([announced('a')])
    expect(proven(clock, history)).toBe('v1')
    clock.advance(5_001)
    expect(history.provenVersion(stream, lifetimeMilliseconds)).toBeUndefined()
    expect(history.observe({ recordAgeMilliseconds: 0, silentSince: undefined })).toBe(false)
    expect(history.provenVersion(stream, lifetimeMilliseconds)).toBeUndefined()
    expect(proven(clock, history)).toBe('v1')
    history.interrupt()
    expect(history.provenVersion(stream, lifetimeMilliseconds)).toBeUndefined()
    expect(proven(clock, history)).toBe('v1')
  })
})
