import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: resolveIgnoresFromGitignore() }),
  {
    files: ['**/*.ts'],
    rules: {
      // A constant object and the type of its values share one name.
      '@typescript-eslint/no-redeclare': 'off',
      '@typescript-eslint/consistent-type-imports': ['error', { prefer: 'type-imports', fixStyle: 'separate-type-imports' }],
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }]
    }
  }
]
