/**
 * Runs all compiled tests with Mocha; the last line is `N passed, N failed, N skipped`.
 * Failures of tests that KNOWN-RED.txt lists in a line `test: <full title>` are printed
 * and counted as skipped; any other failure fails the run.
 * `--grep <text>` runs only tests whose full title contains the text.
 */
import { existsSync, readFileSync } from 'node:fs'
import { readdir } from 'node:fs/promises'
import path from 'node:path'
import 'reflect-metadata'
import Mocha from 'mocha'

const TEST_TIMEOUT_MS = 20_000

async function specFiles(folder) {
  const entries = await readdir(folder, { recursive: true })
  return entries
    .filter((entry) => /__tests__[\\/][^\\/]+\.spec\.js$/.test(entry))
    .map((entry) => path.resolve(folder, entry))
    .sort()
}

function knownRedTitles() {
  if (!existsSync('KNOWN-RED.txt')) return new Set()
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n')
  return new Set(
    lines
      .filter((line) => line.startsWith('test: '))
      .map((line) => line.slice('test: '.length).trim()),
  )
}

function reportKnownRed(failedTitles, known) {
  for (const title of known) {
    const state = failedTitles.includes(title) ? 'fails' : 'did not fail in this run'
    console.log(`known red, ${state}: ${title}`)
  }
}

const grepIndex = process.argv.indexOf('--grep')
const mocha = new Mocha({
  timeout: TEST_TIMEOUT_MS,
  reporter: 'dot',
  ...(grepIndex > 0 ? { fgrep: process.argv[grepIndex + 1] } : {}),
})
for (const file of await specFiles('dist')) mocha.addFile(file)
await mocha.loadFilesAsync()

const known = knownRedTitles()
const failedTitles = []
const runner = mocha.run(() => {
  const { passes, pending } = runner.stats
  const unexpected = failedTitles.filter((title) => !known.has(title))
  reportKnownRed(failedTitles, known)
  const knownFailures = failedTitles.length - unexpected.length
  console.log(`\n${passes} passed, ${unexpected.length} failed, ${pending + knownFailures} skipped`)
  process.exit(unexpected.length === 0 ? 0 : 1)
})
runner.on(Mocha.Runner.constants.EVENT_TEST_FAIL, (test) => failedTitles.push(test.fullTitle()))
