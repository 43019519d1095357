/** Prints the reference page of all settings: `npm run docs:settings`. */
import 'reflect-metadata'
import { renderSettingsPage } from './settingsPage.js'

process.stdout.write(renderSettingsPage())
