#!/usr/bin/env node
import 'reflect-metadata'
import { main } from '../dist/src/gateway/runGatewayDaemon.js'

await main(process.argv.slice(2))
