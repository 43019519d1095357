/** Settings from flags and environment variables, checked at the start; all errors are reported together. */
import { Command, Option } from 'commander'
import type { Schema } from 'joi'
import { SteeringError } from './errors.js'
import type { Result } from './results.js'
import { Err, Ok } from './results.js'

/** One setting: flag `--peer-token` and variable `TAMARACKDRIFT_PEER_TOKEN` for the name `peerToken`. */
export interface SettingDefinition {
  /** Name in camelCase. */
  readonly name: string
  readonly description: string
  /** Description of the allowed values, for error messages and the reference page. */
  readonly range: string
  /** Unit, for example `ms`; empty if there is none. */
  readonly unit: string
  /** Converts and validates the text. */
  readonly schema: Schema
  /** Text used if neither flag nor variable is given; a setting without default is required. */
  readonly defaultValue?: string
  /** Whether the value is left out of error messages and logs. */
  readonly isSecret?: boolean
}

/** Setting with an invalid value, and the reason. */
export interface InvalidSetting {
  readonly name: string
  readonly value: string
  readonly range: string
  readonly unit: string
  readonly problem: string
}

/** Kinds of errors from {@link parseSettings}. */
export enum SettingsErrorKind {
  Invalid = 'settingsInvalid',
}

/** Reports all invalid settings in one error. */
export class SettingsError extends SteeringError<SettingsErrorKind> {
  readonly invalidSettings: readonly InvalidSetting[]

  constructor(invalidSettings: readonly InvalidSetting[]) {
    const lines = invalidSettings.map(
      (setting) =>
        `\n  ${flagOf(setting.name)} (${environmentVariableOf(setting.name)}) = ${setting.value}: ${setting.problem}; ` +
        `allowed: ${setting.range}${setting.unit === '' ? '' : `, unit: ${setting.unit}`}`,
    )
    super(
      SettingsErrorKind.Invalid,
      `${String(invalidSettings.length)} settings are wrong:${lines.join('')}\n`,
      'correct each of them and start again',
    )
    this.invalidSettings = invalidSettings
  }
}

/** Returns the command-line flag of a setting. */
export function flagOf(name: string): string {
  return `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`
}

/** Returns the environment variable of a setting. */
export function environmentVariableOf(name: string): string {
  return `TAMARACKDRIFT_${name.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()}`
}

/** Settings of a program, and whether `--check` was given. */
export interface ParsedSettings<Settings> {
  readonly settings: Settings
  readonly checkOnly: boolean
}

/** Adds an option per setting and `--check` to a command. */
export function addSettingOptions(
  command: Command,
  definitions: readonly SettingDefinition[],
): void {
  for (const definition of definitions) {
    const option = new Option(`${flagOf(definition.name)} <value>`, definition.description)
    command.addOption(option.env(environmentVariableOf(definition.name)))
  }
  command.option('--check', 'only check the settings')
}

/**
 * Reads the settings of a program.
 *
 * @param argv arguments after the program's name
 * @returns the settings by name, converted by their schemas, or an error with all invalid settings
 */
export function parseSettings<Settings>(
  programName: string,
  definitions: readonly SettingDefinition[],
  argv: readonly string[],
): Result<ParsedSettings<Settings>, SettingsError> {
  const command = new Command(programName)
  addSettingOptions(command, definitions)
  command.parse([...argv], { from: 'user' })
  const given = command.opts<Record<string, string | boolean | undefined>>()
  const checked = checkSettings<Settings>(definitions, given)
  return checked.map((settings) => ({ settings, checkOnly: given.check === true }))
}

/** Validates and converts the texts of settings by their definitions. */
export function checkSettings<Settings>(
  definitions: readonly SettingDefinition[],
  given: Readonly<Record<string, string | boolean | undefined>>,
): Result<Settings, SettingsError> {
  const invalidSettings: InvalidSetting[] = []
  const settings: Record<string, unknown> = {}
  for (const definition of definitions) {
    const text = given[definition.name] ?? definition.defaultValue
    const { value, error } = definition.schema.required().validate(text) as {
      value: unknown
      error?: Error
    }
    settings[definition.name] = value
    if (error !== undefined) invalidSettings.push(describeInvalidSetting(definition, text, error))
  }
  return invalidSettings.length === 0
    ? Ok(settings as Settings)
    : Err(new SettingsError(invalidSettings))
}

function describeInvalidSetting(
  definition: SettingDefinition,
  text: string | boolean | undefined,
  error: Error,
): InvalidSetting {
  const displayedText = definition.isSecret === true ? '(secret)' : String(text)
  return {
    name: definition.name,
    value: text === undefined ? '(not given)' : displayedText,
    range: definition.range,
    unit: definition.unit,
    // Some messages of Joi contain the value, which must not be shown for secrets.
    problem: definition.isSecret === true ? 'missing or not allowed' : error.message,
  }
}
