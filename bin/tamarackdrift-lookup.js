#!/usr/bin/env node
import 'reflect-metadata'
import { main } from '../dist/src/lookup/lookupDaemon.js'

await main(process.argv.slice(2))
