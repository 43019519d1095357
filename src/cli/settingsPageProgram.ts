/** Prints the reference page of all settings: `npm run docs:settings`. */
import 'reflect-metadata'
import { settingsPage } from './settingsPage.js'

process.stdout.write(settingsPage())
