/** Text form of the report of `check FILE`. */
import type {
  Difference,
  FieldChange,
  FieldValue,
} from '../configurationCheck/configurationDifferences.js'
import { ChangeKind } from '../configurationCheck/configurationDifferences.js'
import type { ConfigurationPlace, Finding } from '../configurationCheck/finding.js'
import type { CheckReport } from './checkFileCommand.js'

const MARK_BY_CHANGE: Readonly<Record<ChangeKind, string>> = {
  [ChangeKind.Added]: '+',
  [ChangeKind.Removed]: '-',
  [ChangeKind.Changed]: '~',
}

export function formatCheckReport({
  file,
  version,
  findings,
  differences,
  against,
}: CheckReport): string {
  const count = findings.length === 1 ? '1 finding' : `${findings.length} findings`
  const title = version === undefined ? file : `${file}, version ${version}`
  return [
    ...findings.flatMap(formatFinding),
    ...(differences === undefined ? [] : formatDifferences(differences, version, against)),
    `${title}: ${findings.length === 0 ? 'nothing found' : count}`,
  ].join('\n')
}

function formatFinding(finding: Finding): string[] {
  const { kind, problem, remedy } = finding
  return [`${kind}: ${formatPlace(finding)}: ${problem}`, `  remedy: ${remedy}`]
}

function formatPlace({ table, row, name }: ConfigurationPlace): string {
  const number = row === undefined ? '' : ` row ${row}`
  return `${table}${number}${name === undefined ? '' : ` (${name})`}`
}

function formatDifferences(differences: readonly Difference[], version = 0, against = 0): string[] {
  const title = `changes from version ${against} to version ${version}:`
  if (differences.length === 0) return [`${title} none`]
  return [
    title,
    ...differences.flatMap(({ table, name, change, fields }) => [
      `  ${MARK_BY_CHANGE[change]} ${table} ${name}: ${change}`,
      ...fields.map(formatField),
    ]),
  ]
}

function formatField({ field, from, to }: FieldChange): string {
  return `      ${field}: ${formatValue(from)} -> ${formatValue(to)}`
}

function formatValue(value: FieldValue): string {
  if (value === null) return 'not set'
  if (typeof value !== 'object') return String(value)
  return value.length === 0 ? 'none' : value.join(', ')
}
