import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'
import regexp from 'eslint-plugin-regexp'

export default [
  ...neostandard({ ts: true, ignores: resolveIgnoresFromGitignore() }),
  {
    plugins: { regexp },
    rules: {
      // Upstreams, callers and other VMs decide what the patterns are matched against.
      'regexp/no-super-linear-backtracking': ['error', { report: 'potential' }],
      'regexp/no-super-linear-move': ['error', { report: 'potential' }],
      // The rules above take no account of lookarounds, and a repeated group is what backtracks exponentially.
      'no-restricted-syntax': ['error', { selector: String.raw`Literal[regex.pattern=/\)(?:[*+]|\{\d+,)/]`, message: 'A pattern with a repeated group may take exponential time; read the text in a loop instead.' }]
    }
  },
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
