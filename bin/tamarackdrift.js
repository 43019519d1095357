#!/usr/bin/env node
import 'reflect-metadata'
import { inspectConfiguration } from '../dist/platform/configurationInspection.js'
import { main } from '../dist/src/cli/operatorProgram.js'

await main(process.argv.slice(2), inspectConfiguration)
