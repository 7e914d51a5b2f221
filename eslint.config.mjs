import js from '@eslint/js';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['target/', 'node_modules/', '**/node_modules/'] },
  js.configs.recommended,
  ...tseslint.configs.strict,
  {
    languageOptions: {
      globals: { process: 'readonly', console: 'readonly', performance: 'readonly', setTimeout: 'readonly' },
    },
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              // A slice is imported through its index.ts only.
              regex:
                '^(?:\\.\\./)+(?:src/[a-z]+|(?!src/|packages/|[a-z-]+/src/)[a-z]+|packages/[a-z-]+/src/[a-z]+|[a-z-]+/src(?!/cli/index\\.js$))/(?!index\\.js$)',
              message: 'import a slice through its index.js',
            },
          ],
        },
      ],
      'no-restricted-syntax': ['error', { selector: 'ExportDefaultDeclaration', message: 'no default exports' }],
      '@typescript-eslint/no-extraneous-class': 'off',
    },
  },
  {
    // Time, timers, luck and sockets come from the runtime that is handed in; only `system-runtime.ts` has the real ones.
    files: ['src/**/*.ts', 'packages/*/src/**/*.ts'],
    ignores: [
      'src/kernel/system-runtime.ts',
      'src/cli/**',
      'packages/region/src/sim/settle-pending-callbacks.ts',
      'packages/*/src/cli/**',
    ],
    rules: {
      'no-restricted-globals': [
        'error',
        ...['setTimeout', 'setInterval', 'setImmediate', 'clearTimeout', 'clearInterval', 'performance', 'process'].map(
          (name) => ({ name, message: 'goes through the Runtime that is handed in' }),
        ),
      ],
      'no-restricted-properties': [
        'error',
        { object: 'Math', property: 'random', message: 'goes through the Runtime that is handed in' },
        { object: 'Date', property: 'now', message: 'goes through the Runtime that is handed in' },
      ],
      '@typescript-eslint/no-restricted-imports': [
        'error',
        {
          paths: ['node:net', 'node:timers', 'node:timers/promises', 'node:dns', 'node:crypto', 'node:perf_hooks'].map(
            (name) => ({ name, message: 'goes through the Runtime that is handed in' }),
          ),
          patterns: [
            { regex: '(?:^|/)packages/', message: 'the core imports nothing from packages/' },
            { regex: '^@wooddrift/', message: 'the core imports nothing from packages/' },
          ],
        },
      ],
    },
  },
  {
    files: ['eslint.config.mjs'],
    rules: { 'no-restricted-syntax': 'off' },
  },
);
