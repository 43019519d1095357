#!/usr/bin/env node
import 'reflect-metadata'
import { main } from '../dist/src/cli/operatorProgram.js'

await main(process.argv.slice(2))
