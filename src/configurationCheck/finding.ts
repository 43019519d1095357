/** Findings of the check of a configuration that is not in force yet. */

/** What a finding means for the entry instances that get the configuration. */
export enum FindingKind {
  /** They refuse the whole configuration. */
  Rejected = 'rejected',
  /** They handle the entry more strictly than configured. */
  Restricted = 'restricted',
  /** They take another value than the configured one. */
  Ignored = 'ignored',
  /** No request can match the entry, or all that match it are refused. */
  NeverMatches = 'neverMatches',
  /** The region is not one of the deployment. */
  UnknownRegion = 'unknownRegion',
  /** Values that can't hold together. */
  Contradictory = 'contradictory',
}

export enum ConfigurationTable {
  Configuration = 'configuration',
  Routes = 'routes',
  Services = 'services',
  Tenants = 'tenants',
  Limits = 'limits',
}

/** Place in the configuration. */
export interface ConfigurationPlace {
  readonly table: ConfigurationTable
  /** Counted from 1. */
  readonly row?: number
  readonly name?: string
}

/** One problem and its remedy; neither holds a key of a tenant. */
export interface Finding extends ConfigurationPlace {
  readonly kind: FindingKind
  readonly problem: string
  readonly remedy: string
}

/** A problem of an entry whose place the caller knows. */
export type EntryProblem = Omit<Finding, keyof ConfigurationPlace>
