import { readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
import { describe, expect, it } from 'vitest'
import { layerOf } from './packageLayers.js'

const packagesRoot = new URL('../../', import.meta.url).pathname
const importPattern = /from '@cuminvale\/([a-zA-Z]+)'/g
const decisionLayer = layerOf('limits')
const edgeModules = /from '(node:(http|https|net|tls|fs|child_process)|undici|ws|nact|consola|prom-client)'/

const packageNames = readdirSync(packagesRoot)
const sourcesOf = (name: string): readonly string[] =>
  readdirSync(join(packagesRoot, name, 'src')).filter((file) => file.endsWith('.ts'))
const read = (name: string, file: string): string => readFileSync(join(packagesRoot, name, 'src', file), 'utf8')

describe('package imports', () => {
  it.each(packageNames)('%s has a layer, and imports declared packages of lower layers only', (name) => {
    expect(layerOf(name)).toBeGreaterThanOrEqual(0)
    const declared = Object.keys((JSON.parse(readFileSync(join(packagesRoot, name, 'package.json'), 'utf8')) as { dependencies: object }).dependencies)
    const wrong = sourcesOf(name).flatMap((file) =>
      [...read(name, file).matchAll(importPattern)]
        .map((match) => match[1] ?? '')
        .filter((imported) => layerOf(imported) >= layerOf(name) || !declared.includes(`@cuminvale/${imported}`))
        .map((imported) => `${file} imports ${imported}`))
    expect(wrong).toEqual([])
  })

  it.each(packageNames.filter((name) => layerOf(name) <= decisionLayer && name !== 'repository'))('%s imports no module for sockets, files, actors, logs or metrics', (name) => {
    const wrong = sourcesOf(name).filter((file) => !file.endsWith('.test.ts') && edgeModules.test(read(name, file)))
    expect(wrong).toEqual([])
  })
})

describe('source files', () => {
  it.each(packageNames)('each module of %s starts with a doc comment', (name) => {
    const exempt = /\.(test|soak)\.ts$|^index\.ts$/
    const wrong = sourcesOf(name).filter((file) => !exempt.test(file) && !read(name, file).startsWith('/**'))
    expect(wrong).toEqual([])
  })
})
