import { expect } from 'chai'
import fc from 'fast-check'
import type { Credentials } from '../authentication.js'
import { CallerKind, CredentialKind, authenticate } from '../authentication.js'
import type { Tenant } from '../tenant.js'
import { TenantDirectory } from '../tenantDirectory.js'
import { allowedRegions, effectivePriority } from '../tenantPolicy.js'

const TENANT: Tenant = { name: 'ferry', keys: ['k1', 'k2'], homeRegions: ['north'], priority: 1 }
const DIRECTORY = new TenantDirectory([TENANT])
const NONE: Credentials = { kind: CredentialKind.None }
const UNREADABLE: Credentials = { kind: CredentialKind.Unreadable, reason: 'not a key' }

function key(text: string): Credentials {
  return { kind: CredentialKind.Key, key: text }
}

describe('tenants', () => {
  describe('authentication', () => {
    // Guards against customers that are locked out while they change from one key to another.
    it('finds the tenant by each of its keys', () => {
      for (const text of TENANT.keys) {
        const caller = authenticate(key(text), DIRECTORY, false)
        expect(caller).to.deep.equal({ kind: CallerKind.Tenant, tenant: TENANT })
      }
    })

    // A key that was withdrawn must not be served as an anonymous caller either.
    it('rejects unknown and unreadable keys, also on anonymous routes', () => {
      for (const credentials of [key('k3'), key('K1'), key('__proto__'), UNREADABLE]) {
        for (const allowsAnonymous of [false, true]) {
          const { kind } = authenticate(credentials, DIRECTORY, allowsAnonymous)
          expect(kind).to.equal(CallerKind.Rejected)
        }
      }
    })

    // Guards against routes that are open without being configured so.
    it('serves callers without a key on anonymous routes only', () => {
      expect(authenticate(NONE, DIRECTORY, true).kind).to.equal(CallerKind.Anonymous)
      expect(authenticate(NONE, DIRECTORY, false).kind).to.equal(CallerKind.Rejected)
    })

    // Deployments without tenants are served as before, whatever their callers state.
    it('restricts nothing where no tenants are configured', () => {
      for (const credentials of [NONE, UNREADABLE, key('k1')]) {
        const { kind } = authenticate(credentials, undefined, false)
        expect(kind).to.equal(CallerKind.Unrestricted)
      }
    })

    // Guards against keys that match by more than equality.
    it('accepts no key that is not configured', () => {
      fc.assert(
        fc.property(fc.string(), (text) => {
          const { kind } = authenticate(key(text), DIRECTORY, true)
          expect(kind === CallerKind.Tenant).to.equal(TENANT.keys.includes(text))
        }),
      )
    })
  })

  describe('priority', () => {
    // Guards against a route that puts a less urgent tenant before a more urgent one.
    it('is the tenant’s before the route’s, which decides among equal tenants', () => {
      expect(effectivePriority(5, { ...TENANT, priority: 0 })).to.be.below(
        effectivePriority(0, TENANT),
      )
      expect(effectivePriority(0, TENANT)).to.be.below(effectivePriority(2, TENANT))
      expect(effectivePriority(1e9, TENANT)).to.be.below(2)
    })

    // Guards against other priorities in deployments without tenants.
    it('is the route’s without a tenant, or for one without a priority', () => {
      const without: Tenant = { name: 'ferry', keys: [], homeRegions: [] }
      expect(effectivePriority(2, undefined)).to.equal(2)
      expect(effectivePriority(2, without)).to.equal(2)
    })
  })

  describe('homes', () => {
    // Guards against a request that runs where one of the two does not allow it.
    it('of route and tenant both bind', () => {
      expect(allowedRegions(['north', 'south'], TENANT)).to.deep.equal(['north'])
      expect(allowedRegions([], TENANT)).to.deep.equal(['north'])
      expect(allowedRegions(['south'], undefined)).to.deep.equal(['south'])
    })

    // No region left must not be taken for all regions.
    it('that exclude each other leave no region', () => {
      expect(allowedRegions(['south'], TENANT)).to.equal(undefined)
    })
  })

  describe('directory', () => {
    // Guards against an index that loses keys of one tenant to another.
    it('finds keys among 100,000 of 1,000 tenants', () => {
      const tenants = Array.from({ length: 1000 }, (_, index) => ({
        name: `t${index}`,
        keys: Array.from({ length: 100 }, (_value, number) => `key-${index}-${number}`),
        homeRegions: [],
      }))
      const directory = new TenantDirectory(tenants)
      expect(directory.keyCount).to.equal(100_000)
      expect(directory.findByKey('key-999-99')?.name).to.equal('t999')
      expect(directory.hasQuotas).to.equal(false)
    })
  })
})
