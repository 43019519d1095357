/** Decides on whose behalf a request is served, before anything else is spent on it. */
import type { Tenant } from './tenant.js'
import type { TenantDirectory } from './tenantDirectory.js'

export enum CredentialKind {
  /** The request states no credentials. */
  None = 'none',
  Key = 'key',
  /** More than one credential, another scheme, or no key after the scheme. */
  Unreadable = 'unreadable',
}

/** Credentials in the head of a request. */
export type Credentials =
  | { readonly kind: CredentialKind.None }
  | { readonly kind: CredentialKind.Key; readonly key: string }
  | { readonly kind: CredentialKind.Unreadable; readonly reason: string }

export enum CallerKind {
  /** No tenants are configured. */
  Unrestricted = 'unrestricted',
  /** Without credentials, on a route that allows it. */
  Anonymous = 'anonymous',
  Tenant = 'tenant',
  Rejected = 'rejected',
}

/** Outcome of the authentication of a request. */
export type AuthenticatedCaller =
  | { readonly kind: CallerKind.Unrestricted }
  | { readonly kind: CallerKind.Anonymous }
  | { readonly kind: CallerKind.Tenant; readonly tenant: Tenant }
  | { readonly kind: CallerKind.Rejected; readonly reason: string }

const UNRESTRICTED: AuthenticatedCaller = { kind: CallerKind.Unrestricted }
const ANONYMOUS: AuthenticatedCaller = { kind: CallerKind.Anonymous }

type Decision = (
  credentials: Credentials,
  directory: TenantDirectory,
  allowsAnonymous: boolean,
) => AuthenticatedCaller

const DECISION_BY_CREDENTIALS: Readonly<Record<CredentialKind, Decision>> = {
  [CredentialKind.None]: (_credentials, _directory, allowsAnonymous) =>
    allowsAnonymous ? ANONYMOUS : rejected('no key'),
  [CredentialKind.Key]: (credentials, directory) => {
    const key = credentials.kind === CredentialKind.Key ? credentials.key : ''
    const tenant = directory.findByKey(key)
    return tenant === undefined ? rejected('unknown key') : { kind: CallerKind.Tenant, tenant }
  },
  [CredentialKind.Unreadable]: (credentials) =>
    rejected(credentials.kind === CredentialKind.Unreadable ? credentials.reason : ''),
}

/**
 * Authenticates a request. An unknown key is rejected on anonymous routes as well: it may be one
 * that was withdrawn, whose holder must not be served.
 * @param directory `undefined` if no tenants are configured
 */
export function authenticate(
  credentials: Credentials,
  directory: TenantDirectory | undefined,
  allowsAnonymous: boolean,
): AuthenticatedCaller {
  if (directory === undefined) return UNRESTRICTED
  return DECISION_BY_CREDENTIALS[credentials.kind](credentials, directory, allowsAnonymous)
}

function rejected(reason: string): AuthenticatedCaller {
  return { kind: CallerKind.Rejected, reason }
}
