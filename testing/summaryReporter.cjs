/**
 * Mocha reporter: the dot reporter, followed by a count in the form
 * `N passed, N failed, N skipped` alone on the last line.
 */
const Mocha = require('mocha')

class SummaryReporter extends Mocha.reporters.Dot {
  constructor(runner, options) {
    super(runner, options)
    runner.once(Mocha.Runner.constants.EVENT_RUN_END, () => {
      const { passes, failures, pending } = this.stats
      process.stdout.write(`\n${passes} passed, ${failures} failed, ${pending} skipped\n`)
    })
  }
}

module.exports = SummaryReporter
