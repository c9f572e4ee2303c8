import config from './vitest.config'

/** Tests that measure a whole process: one at a time, apart from all others. */
export default {
  ...config,
  test: { ...config.test, include: ['platform/src/**/*.isolated.test.ts', 'platform/soak/src/**/*.isolated.test.ts'], exclude: [], fileParallelism: false }
}
