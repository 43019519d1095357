/** Reference page of all settings, generated from their definitions. */
import type { SettingDefinition } from '../common/settings.js'
import { flagOf, environmentVariableOf } from '../common/settings.js'
import { CONTROL_SETTINGS } from '../control/controlSettings.js'
import { DAEMON_SETTINGS } from '../daemon/daemonSettings.js'
import { GATEWAY_SETTINGS } from '../gateway/gatewaySettings.js'
import { LOOKUP_SETTINGS } from '../lookup/lookupSettings.js'
import { CLI_SETTINGS } from './cliSettings.js'

interface ProgramSettings {
  readonly title: string
  readonly definitions: readonly SettingDefinition[]
}

const SHARED_NAMES = new Set(DAEMON_SETTINGS.map(({ name }) => name))
const withoutShared = (definitions: readonly SettingDefinition[]): readonly SettingDefinition[] =>
  definitions.filter(({ name }) => !SHARED_NAMES.has(name))

const PROGRAMS: readonly ProgramSettings[] = [
  { title: 'All daemons', definitions: DAEMON_SETTINGS },
  { title: '`tamarackdrift-lookup`', definitions: withoutShared(LOOKUP_SETTINGS) },
  { title: '`tamarackdrift-gateway`', definitions: withoutShared(GATEWAY_SETTINGS) },
  { title: '`tamarackdrift-control`', definitions: withoutShared(CONTROL_SETTINGS) },
  { title: "`tamarackdrift` (operators' command)", definitions: CLI_SETTINGS },
]

const INTRODUCTION = `# Settings

This page is made by \`npm run docs:settings\` from the definitions in \`src/\`; a test compares it.

Each setting has a flag and an environment variable; the flag wins. \`--check\` on any program only
checks the settings: it prints every wrong one with its allowed range and ends with code 2, or
prints that they are valid and ends with code 0. Secrets are never printed. Give them as variables,
because other users of the machine can read the flags of a process.
`

/** Returns the page in Markdown. */
export function renderSettingsPage(): string {
  const sections = PROGRAMS.map(({ title, definitions }) => section(title, definitions))
  return `${INTRODUCTION}\n${sections.join('\n')}`
}

function section(title: string, definitions: readonly SettingDefinition[]): string {
  const rows = definitions.map(
    (definition) =>
      `| \`${flagOf(definition.name)}\` | \`${environmentVariableOf(definition.name)}\` | ` +
      `${formatDefault(definition)} | ${escapePipes(definition.range)} | ${definition.unit} | ` +
      `${escapePipes(definition.description)} |`,
  )
  return [
    `## ${title}`,
    '',
    '| flag | variable | default | allowed | unit | meaning |',
    '|---|---|---|---|---|---|',
    ...rows,
    '',
  ].join('\n')
}

function formatDefault({ name, defaultValue }: SettingDefinition): string {
  if (defaultValue === undefined) return '(required)'
  // Depends on the user who runs the program.
  if (name === 'operator') return '`$USER`'
  return defaultValue === '' ? '(empty)' : `\`${defaultValue}\``
}

function escapePipes(text: string): string {
  return text.replaceAll('|', '\\|')
}
