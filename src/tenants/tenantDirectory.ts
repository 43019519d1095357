/** Index of the tenants of one version of the configuration, by key and by name. */
import type { Tenant } from './tenant.js'

/** Immutable; built when a version is decoded, so that no request pays for it. */
export class TenantDirectory {
  readonly #byKey = new Map<string, Tenant>()
  readonly #byName = new Map<string, Tenant>()
  /** Whether any tenant has a limit. */
  readonly hasQuotas: boolean

  /** @param tenants no two of them share a name or a key */
  constructor(tenants: readonly Tenant[]) {
    this.hasQuotas = tenants.some(({ quota }) => quota !== undefined)
    for (const tenant of tenants) {
      this.#byName.set(tenant.name, tenant)
      for (const key of tenant.keys) this.#byKey.set(key, tenant)
    }
  }

  findByKey(key: string): Tenant | undefined {
    return this.#byKey.get(key)
  }

  findByName(name: string): Tenant | undefined {
    return this.#byName.get(name)
  }

  get tenants(): Iterable<Tenant> {
    return this.#byName.values()
  }

  get keyCount(): number {
    return this.#byKey.size
  }
}
