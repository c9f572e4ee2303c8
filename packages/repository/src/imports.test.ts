import { readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
import { describe, expect, it } from 'vitest'
import { layerOf } from './packageLayers.js'

const packagesRoot = new URL('../../', import.meta.url).pathname
const packageImportPattern = /from '@cuminvale\/([a-zA-Z]+)'/g
const highestDecisionLayer = layerOf('limits')
const sideEffectImportPattern = /from '(node:(http|https|net|tls|fs|child_process)|undici|ws|nact|consola|prom-client)'/

const packageNames = readdirSync(packagesRoot)
const sourcesOf = (name: string): readonly string[] =>
  readdirSync(join(packagesRoot, name, 'src')).filter((file) => file.endsWith('.ts'))
const readSource = (name: string, file: string): string => readFileSync(join(packagesRoot, name, 'src', file), 'utf8')

describe('package imports', () => {
  it.each(packageNames)('%s has a layer, and imports declared packages of lower layers only', (name) => {
    expect(layerOf(name)).toBeGreaterThanOrEqual(0)
    const declaredDependencies = Object.keys((JSON.parse(readFileSync(join(packagesRoot, name, 'package.json'), 'utf8')) as { dependencies: object }).dependencies)
    const violations = sourcesOf(name).flatMap((file) =>
      [...readSource(name, file).matchAll(packageImportPattern)]
        .map((match) => match[1] ?? '')
        .filter((imported) => layerOf(imported) >= layerOf(name) || !declaredDependencies.includes(`@cuminvale/${imported}`))
        .map((imported) => `${file} imports ${imported}`))
    expect(violations).toEqual([])
  })

  it.each(packageNames.filter((name) => layerOf(name) <= highestDecisionLayer && name !== 'repository'))('%s imports no module for sockets, files, actors, logs or metrics', (name) => {
    const violations = sourcesOf(name).filter((file) => !file.endsWith('.test.ts') && sideEffectImportPattern.test(readSource(name, file)))
    expect(violations).toEqual([])
  })
})

describe('source files', () => {
  it.each(packageNames)('each module of %s starts with a doc comment', (name) => {
    const exemptFilePattern = /\.(test|soak)\.ts$|^index\.ts$/
    const violations = sourcesOf(name).filter((file) => !exemptFilePattern.test(file) && !readSource(name, file).startsWith('/**'))
    expect(violations).toEqual([])
  })
})
