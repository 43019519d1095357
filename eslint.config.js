import js from '@eslint/js'
import tseslint from 'typescript-eslint'

/** Domain modules: the decision logic, which must not depend on programs or HTTP. */
const DOMAIN_FILES = [
  'src/{configuration,callers,configurationCheck,connections,membership,lookup,operations,slots,shift,drain,gateway,control,entry,placement,quotas,scheduling,tenants}/*.ts',
]
const ADAPTER_FILES = [
  'src/**/*Server.ts',
  'src/**/*Client.ts',
  'src/**/http*.ts',
  'src/**/*Daemon.ts',
  'src/**/*Settings.ts',
  'src/callers/{connectionInput,connectionLimits}.ts',
  'src/entry/{callerBody,callerConnection,connectionPool,lingeringConnections,peerLink,peerMesh,responseReader,serverConnection}.ts',
]

export default tseslint.config(
  { ignores: ['dist/', 'target/', 'journal/', 'node_modules/', '**/*.cjs'] },
  js.configs.recommended,
  tseslint.configs.strictTypeChecked,
  tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: {
        projectService: {
          allowDefaultProject: ['bin/*.js', 'testing/*.mjs', 'platform/*.mjs', 'eslint.config.js'],
        },
      },
      globals: { process: 'readonly', console: 'readonly' },
    },
    rules: {
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      'no-restricted-exports': ['error', { restrictDefaultExports: { direct: true } }],
    },
  },
  {
    files: DOMAIN_FILES,
    ignores: ADAPTER_FILES,
    rules: {
      'no-restricted-imports': [
        'error',
        {
          paths: ['@hapi/hapi', '@hapi/wreck', 'node:http', 'node:net', 'commander'],
          patterns: [
            {
              group: ['**/*Server.js', '**/*Daemon.js', '**/http*.js', '**/cli/**'],
              message:
                'Domain modules depend on interfaces only; use HTTP and programs in an adapter file.',
            },
          ],
        },
      ],
    },
  },
  {
    // Only programs in platform/ import the platform adapter; src/platform/ belongs to the product.
    files: ['src/*/*.ts', 'bench/*.ts', 'playground/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ImportDeclaration[source.value=/^\\.\\.\\/\\.\\.\\/platform\\//]',
          message:
            'The product must not import from platform/, the adapter of the platform; see docs/platform.md.',
        },
      ],
    },
  },
  {
    files: ['**/__tests__/*.ts'],
    rules: { '@typescript-eslint/no-unused-expressions': 'off' },
  },
  {
    files: ['eslint.config.js', 'bin/*.js', 'testing/*.mjs', 'platform/*.mjs'],
    ...tseslint.configs.disableTypeChecked,
    rules: { ...tseslint.configs.disableTypeChecked.rules, 'no-restricted-exports': 'off' },
  },
)
