/**
 * Direct evidence: pings and their acknowledgements, and the state of links.
 * A paused process must not blame its own absence on others, so waking starts
 * every silence anew.
 */

import type { Clock, VmId } from '@cuminvale/common'
import {
  firstResuspectMilliseconds, maximumResuspectMilliseconds, pingIntervalMilliseconds, silenceMilliseconds
} from './constants.js'

interface Contact {
  provenAt: number
  pingAt: number
  sequence: number
  sentAt: number
  suspectAt: number
  resuspectMilliseconds: number
}

export class DirectContacts {
  private readonly contacts = new Map<VmId, Contact>()
  private readonly broken = new Set<VmId>()

  constructor (private readonly clock: Clock) {}

  /** Adopts the VMs to ping; new ones get a full silence to answer in. */
  adopt (targets: ReadonlySet<VmId>, linked: ReadonlySet<VmId>): void {
    const now = this.clock.monotonic()
    for (const vm of this.contacts.keys()) {
      if (!targets.has(vm)) this.contacts.delete(vm)
    }
    for (const vm of this.broken) {
      if (!linked.has(vm)) this.broken.delete(vm)
    }
    for (const vm of targets) {
      if (!this.contacts.has(vm)) this.contacts.set(vm, newContact(now))
    }
  }

  linkUp (vm: VmId): void {
    this.broken.delete(vm)
    const contact = this.contacts.get(vm)
    if (contact !== undefined) contact.pingAt = this.clock.monotonic()
  }

  linkDown (vm: VmId): void {
    this.broken.add(vm)
  }

  /** VMs whose ping is due, with the sequence number to send. */
  duePings (): ReadonlyArray<{ readonly vm: VmId, readonly sequence: number }> {
    const now = this.clock.monotonic()
    const due = [...this.contacts].filter(([, contact]) => contact.pingAt <= now)
    return due.map(([vm, contact]) => {
      contact.sequence += 1
      contact.sentAt = now
      contact.pingAt = now + pingIntervalMilliseconds
      return { vm, sequence: contact.sequence }
    })
  }

  acknowledge (vm: VmId, sequence: number): void {
    const contact = this.contacts.get(vm)
    if (contact === undefined || sequence !== contact.sequence) return
    contact.provenAt = contact.sentAt
    contact.resuspectMilliseconds = firstResuspectMilliseconds
    contact.suspectAt = 0
    this.broken.delete(vm)
  }

  /** Whether a VM that this one pings or has had a link to cannot be reached directly. */
  isBroken (vm: VmId): boolean {
    if (this.broken.has(vm)) return true
    const contact = this.contacts.get(vm)
    return contact !== undefined && this.isSilent(contact)
  }

  /** Whether a suspicion should be raised now; each further one waits twice as long. */
  takeSuspicion (vm: VmId): boolean {
    const contact = this.contacts.get(vm)
    const now = this.clock.monotonic()
    if (contact === undefined || !this.isBroken(vm) || now < contact.suspectAt) return false
    contact.suspectAt = now + contact.resuspectMilliseconds
    contact.resuspectMilliseconds = Math.min(maximumResuspectMilliseconds, contact.resuspectMilliseconds * 2)
    return true
  }

  wake (): void {
    const now = this.clock.monotonic()
    for (const contact of this.contacts.values()) Object.assign(contact, newContact(now), { sequence: contact.sequence })
  }

  private isSilent (contact: Contact): boolean {
    return this.clock.monotonic() - contact.provenAt > silenceMilliseconds
  }
}

const newContact = (now: number): Contact => ({
  provenAt: now, pingAt: now, sequence: 0, sentAt: now, suspectAt: 0, resuspectMilliseconds: firstResuspectMilliseconds
})
