/**
 * Which VMs this VM can reach directly, from acknowledged pings and the state
 * of its links. Acknowledgements missed during a pause of this process say
 * nothing about the other VMs, so every ping timeout restarts after a pause.
 */

import type { Clock, VmId } from '@cuminvale/common'
import {
  firstResuspectMilliseconds, maximumResuspectMilliseconds, pingIntervalMilliseconds, silenceMilliseconds
} from './constants.js'

interface Contact {
  /** Sending time of the last acknowledged ping; before the first one, and after a pause, the start of the timeout. */
  provenAt: number
  pingAt: number
  sequence: number
  sentAt: number
  suspectAt: number
  resuspectMilliseconds: number
}

export class DirectContacts {
  private readonly contacts = new Map<VmId, Contact>()
  /** VMs whose link went down and that have not acknowledged a ping since. */
  private readonly broken = new Set<VmId>()

  constructor (private readonly clock: Clock) {}

  /** Sets the VMs to ping and to keep links to. A new target has a full ping timeout to acknowledge. */
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

  /** The VMs whose ping is due, with the sequence number to send. Schedules the next pings. */
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

  /** Whether the link to a VM is down, or a pinged VM has not acknowledged within the ping timeout. */
  isBroken (vm: VmId): boolean {
    if (this.broken.has(vm)) return true
    const contact = this.contacts.get(vm)
    return contact !== undefined && this.isSilent(contact)
  }

  /** Whether a suspicion of the VM is due. If so, schedules the next one after an interval that doubles each time. */
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
