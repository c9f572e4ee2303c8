import { defineConfig } from 'vitest/config'

export default defineConfig({
  resolve: {
    alias: [{
      find: /^@cuminvale\/([a-zA-Z]+)$/,
      replacement: new URL('./packages/', import.meta.url).pathname + '$1/src/index.ts'
    }]
  },
  test: {
    // Three test files build the bundle in a hook, at the same time as all others run.
    hookTimeout: 60_000,
    include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts', 'platform/soak/src/**/*.test.ts'],
    // vitest.isolated.config.ts runs these.
    exclude: ['**/*.isolated.test.ts'],
    testTimeout: 30_000
  }
})
