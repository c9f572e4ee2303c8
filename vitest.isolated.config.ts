import config from './vitest.config'

const folders = ['packages/*/src', 'platform/src', 'platform/soak/src']

/** Tests that measure a whole process, or what is served in real time: one at a time, apart from all others. */
export default {
  ...config,
  test: { ...config.test, include: folders.map((folder) => `${folder}/**/*.isolated.test.ts`), exclude: [], fileParallelism: false }
}
