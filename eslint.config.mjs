import js from '@eslint/js';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['target/', 'node_modules/'] },
  js.configs.recommended,
  ...tseslint.configs.strict,
  {
    languageOptions: { globals: { process: 'readonly', console: 'readonly' } },
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              // A slice is imported through its index.ts only.
              regex: '^(?:\\.\\./)+(?:src/[a-z]+|(?!src/)[a-z]+)/(?!index\\.js$)',
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
    files: ['eslint.config.mjs'],
    rules: { 'no-restricted-syntax': 'off' },
  },
);
