/**
 * `GET /v1/entries`: the VMs that a caller should send requests to, and tickets for its orders.
 */

import { VmState, headerNames } from '@cuminvale/common'
import { planOfTeam } from '@cuminvale/documents'
import { checkKey } from '@cuminvale/keys'
import { ticketBatchSize } from '@cuminvale/orders'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ListedVm, RegionId } from '@cuminvale/common'
import type { EntryCandidate } from '@cuminvale/entries'
import { entryCount } from './constants.js'
import { otherCandidates, ownLoadRatio } from './entrySelection.js'
import { sendRefusal } from './problemDocument.js'
import { requireConfiguration } from './receiveRequest.js'
import { sendJson } from './sendJson.js'
import type { VmContext } from './vmContext.js'

const ownListedVm = (context: VmContext): ListedVm => {
  const { settings, identity, lifecycle, ports } = context
  return {
    name: identity.vm,
    region: identity.region,
    failureDomain: identity.failureDomain,
    host: settings.listen.host,
    callerPort: ports.caller,
    peerPort: ports.peer,
    administrationPort: ports.administration,
    state: lifecycle.isDraining ? VmState.Leaving : VmState.Live
  }
}

const entryCandidates = (context: VmContext): readonly EntryCandidate[] => [
  { vm: ownListedVm(context), reachable: true, load: ownLoadRatio(context.settings, context.lifecycle) },
  ...otherCandidates(context.membership, context.entryLoads)
]

const callerRegion = async (context: VmContext, incoming: IncomingMessage): Promise<RegionId> => {
  const address = incoming.socket.remoteAddress ?? ''
  const found = await context.platform.clientDirectory.regionOf(address)
  return found.isOk ? found.value.unwrapOr(context.identity.region) : context.identity.region
}

export const answerEntries = async (
  context: VmContext,
  incoming: IncomingMessage,
  response: ServerResponse
): Promise<void> => {
  const readyConfiguration = requireConfiguration(context)
  const checkedKey = readyConfiguration.andThen((configuration) => checkKey(incoming.headers.authorization, configuration))
  if (checkedKey.isErr || readyConfiguration.isErr) {
    return sendRefusal(response, checkedKey.isErr ? checkedKey.error : readyConfiguration.isErr ? readyConfiguration.error : (undefined as never))
  }
  const { team } = checkedKey.value
  const plan = planOfTeam(readyConfiguration.value, team)
  const allCandidates = entryCandidates(context)
  const choice = context.entries.choose({
    team,
    callerRegion: await callerRegion(context, incoming),
    allowedRegions: plan?.regions ?? [],
    count: entryCount,
    rateTokensPerSecond: plan?.rateTokensPerSecond ?? 0
  }, allCandidates)
  const listedVms = new Map(allCandidates.map(({ vm }) => [vm.name, vm]))
  const entries = choice.vms.flatMap((name) => {
    const vm = listedVms.get(name)
    return vm === undefined ? [] : [{ vm: name, region: vm.region, address: `http://${vm.host}:${vm.callerPort}` }]
  })
  const tickets = Array.from({ length: ticketBatchSize }, () => context.ticketMint.mint(team))
  response.setHeader(headerNames.outcome, 'done')
  sendJson(response, 200, { entries, holdMilliseconds: choice.holdMilliseconds, tickets })
}
