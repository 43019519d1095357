#!/usr/bin/env node
import 'reflect-metadata'
import { main } from '../dist/platform/entryProgram.js'

await main(process.argv.slice(2))
