import { defineConfig } from 'vitest/config'

export default defineConfig({
  resolve: {
    alias: [{
      find: /^@cuminvale\/([a-zA-Z]+)$/,
      replacement: new URL('./packages/', import.meta.url).pathname + '$1/src/index.ts'
    }]
  },
  test: {
    include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts', 'platform/soak/src/**/*.test.ts'],
    testTimeout: 30_000
  }
})
