/** Proxy that passes bytes on with the bandwidth of a machine's link. */
'use strict'
const net = require('node:net')

/**
 * Starts a proxy before an address. The ends and resets of either side are passed on.
 * @param options.mbps bandwidth from the machine to the client, for each connection
 */
async function startLink({ listenHost, host, port, mbps }) {
  const bytesPerMs = (mbps * 1e6) / 8 / 1000
  const server = net.createServer({ allowHalfOpen: true }, (client) => {
    const machine = net.connect({ host, port, allowHalfOpen: true })
    client.pipe(machine)
    let pending = Promise.resolve()
    machine.on('data', (bytes) => {
      machine.pause()
      const delayMs = bytes.length / bytesPerMs
      pending = new Promise((resolve) => {
        setTimeout(() => {
          client.write(bytes)
          machine.resume()
          resolve()
        }, delayMs)
      })
    })
    machine.on('end', () => void pending.then(() => client.end()))
    machine.on('error', () => client.resetAndDestroy())
    client.on('error', () => machine.resetAndDestroy())
    client.on('close', () => machine.destroy())
  })
  await new Promise((resolve) => server.listen(0, listenHost, resolve))
  return { host: listenHost, port: server.address().port, stop: () => server.close() }
}

module.exports = { startLink }
