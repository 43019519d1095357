import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { renderSettingsPage } from '../settingsPage.js'

describe('settings page', () => {
  // Guards against a reference page that was not regenerated after a definition changed.
  it('matches the definitions; regenerate it with: npm run docs:settings', () => {
    const page = new URL('../../../../docs/settings.md', import.meta.url)
    expect(readFileSync(page, 'utf8')).to.equal(renderSettingsPage())
  })
})
