/**
 * Connections that the servers of a VM may have open, so that its own to
 * upstreams and other VMs find a descriptor.
 */

import type { GatewaySettings } from './types.js'

/** Sockets of a VM whose settings name none. */
const assumedSockets = 3_900
const callerShare = 3 / 8
const linkShare = 1 / 4
const endpointShare = 1 / 32
const minimumConnections = 8

export interface ConnectionLimits {
  readonly callers: number
  /** Links of other VMs and forwards. */
  readonly links: number
  /** Each of the other ports. */
  readonly endpoint: number
}

export const connectionLimitsOf = ({ sockets = assumedSockets }: Pick<GatewaySettings, 'sockets'>): ConnectionLimits => {
  const limitOf = (share: number): number => Math.max(minimumConnections, Math.floor(sockets * share))
  return { callers: limitOf(callerShare), links: limitOf(linkShare), endpoint: limitOf(endpointShare) }
}
