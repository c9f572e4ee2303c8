/**
 * Starts the fakes of the platform's services and of a deployment's upstreams.
 */

import { toRegionId } from '@cuminvale/common'
import {
  FakeClientDirectory, FakeConfigurationService, FakeEngine, FakeService, FakeVmList, FakeWeightStore
} from '@cuminvale/fakes'
import { documentsFor, newTeamKeys } from './deployments.js'
import type { Deployment, TeamKey } from './deployments.js'

const firstTokenMilliseconds = 20
const tokenMilliseconds = 5
const vmListLagMilliseconds = 200
const weightBytes = 8e9
const weightRateBytesPerSecond = 1e9

export interface FakePlatform {
  readonly configuration: FakeConfigurationService
  readonly vmList: FakeVmList
  readonly clientDirectory: FakeClientDirectory
  readonly weightStore: FakeWeightStore
  readonly engines: ReadonlyMap<string, FakeEngine>
  readonly services: ReadonlyMap<string, FakeService>
  readonly keys: readonly TeamKey[]
  stop (): Promise<void>
}

const newEngine = (deployment: Deployment): FakeEngine => new FakeEngine({
  firstTokenMilliseconds,
  tokenMilliseconds,
  checksFencing: true,
  state: { loaded: [deployment.model], version: '1', role: 'both', fence: 0 }
})

export const startFakePlatform = async (deployment: Deployment): Promise<FakePlatform> => {
  const engines = new Map<string, FakeEngine>()
  const services = new Map<string, FakeService>()
  for (const { name, kind } of deployment.upstreams) {
    if (kind === 'engine') engines.set(name, newEngine(deployment))
    else services.set(name, new FakeService())
  }
  const upstreams = [...engines, ...services]
  await Promise.all(upstreams.map(async ([, fake]) => await fake.server.start()))
  const addresses = new Map(upstreams.map(([name, fake]) => [name, fake.server.address]))
  const keys = newTeamKeys(deployment)
  const configuration = new FakeConfigurationService(documentsFor(deployment, addresses, keys))
  const vmList = new FakeVmList(vmListLagMilliseconds)
  const clientDirectory = new FakeClientDirectory()
  const weightStore = new FakeWeightStore([{
    model: deployment.model,
    version: '1',
    bytes: weightBytes,
    region: deployment.vms[0]?.region ?? toRegionId('store'),
    rateBytesPerSecond: weightRateBytesPerSecond
  }])
  const platform = [configuration, vmList, clientDirectory, weightStore]
  await Promise.all(platform.map(async (fake) => await fake.server.start()))
  const stop = async (): Promise<void> => {
    await Promise.all([...platform, ...engines.values(), ...services.values()].map(async (fake) => await fake.server.stop()))
  }
  return { configuration, vmList, clientDirectory, weightStore, engines, services, keys, stop }
}
