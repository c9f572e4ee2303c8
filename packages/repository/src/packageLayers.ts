/**
 * The layers of the packages, lowest first. A package may import only packages of
 * lower layers.
 */

export const packageLayers: ReadonlyArray<readonly string[]> = [
  ['repository', 'common'],
  ['documents'],
  ['messages'],
  ['keys', 'orders', 'configuration', 'limits', 'entries', 'admission', 'routing', 'membership', 'metering'],
  ['serving', 'logs', 'connections'],
  ['services', 'simulation', 'gateway'],
  ['fakes', 'caller'],
  ['daemon', 'cli'],
  ['demo'],
  ['benchmark']
]

export const layerOf = (packageName: string): number =>
  packageLayers.findIndex((layer) => layer.includes(packageName))
