/** Network addresses, and functions that make servers listen. */
import type { AddressInfo, Server } from 'node:net'
import { isIPv4 } from 'node:net'

/** Address to listen at or to connect to. */
export interface HostAndPort {
  readonly host: string
  readonly port: number
}

/** Splits `host:port`. */
export function parseHostAndPort(address: string): HostAndPort {
  const separator = address.lastIndexOf(':')
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) }
}

/** Whether a text of another process is `host:port`, with an IPv4 address and a port to connect to. */
export function isConnectableAddress(address: string): boolean {
  const port = /:(\d{1,5})$/.exec(address)?.[1]
  if (port === undefined || Number(port) < 1 || Number(port) > MAX_PORT) return false
  return isIPv4(address.slice(0, -port.length - 1))
}

const MAX_PORT = 65_535

/** Resolves once the server listens; rejects if it can't. Port 0 selects a free port. */
export function listen(server: Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
}

/** Listens at a free port of the loopback interface, for test servers. @returns `host:port` */
export async function listenOnLoopback(server: Server): Promise<string> {
  await listen(server, '127.0.0.1', 0)
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}
