#!/usr/bin/env node
import 'reflect-metadata'
import { main } from '../dist/src/control/controlDaemon.js'

await main(process.argv.slice(2))
