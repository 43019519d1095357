/** Proxy that passes bytes on with the bandwidth of a machine's link and the delay of its way. */
'use strict'
const net = require('node:net')

/** Read at once; the rest stays in the kernel's buffers, so that the machine has to wait. */
const READ_BYTES = 16_384

/**
 * Starts a proxy before an address. The ends and resets of either side are passed on behind all
 * bytes that the side has sent before and that have left its kernel.
 * @param options.mbps bandwidth from the machine to the client, for each connection
 * @param options.delayMs delay of one way
 */
async function startLink({ listenHost, host, port, mbps, delayMs = 0 }) {
  const bytesPerMs = (mbps * 1e6) / 8 / 1000
  const server = net.createServer({ allowHalfOpen: true }, (client) => {
    let freeAtMs = 0
    const toMachine = (callback) => setTimeout(callback, delayMs)
    const toClient = (callback) => {
      setTimeout(callback, Math.max(0, freeAtMs - performance.now()) + delayMs)
    }
    // Without a stream between, a reset shows only once all bytes before it were read.
    const machine = net.connect({
      host,
      port,
      allowHalfOpen: true,
      onread: {
        buffer: Buffer.alloc(READ_BYTES),
        callback: (count, buffer) => {
          const bytes = Buffer.from(buffer.subarray(0, count))
          freeAtMs = Math.max(freeAtMs, performance.now()) + count / bytesPerMs
          toClient(() => client.write(bytes))
          setTimeout(() => machine.resume(), Math.max(0, freeAtMs - performance.now()))
          return false
        },
      },
    })
    client.on('data', (bytes) => toMachine(() => machine.destroyed || machine.write(bytes)))
    client.on('end', () => toMachine(() => machine.end()))
    client.on('error', () => toMachine(() => machine.resetAndDestroy()))
    machine.on('end', () => toClient(() => client.end()))
    machine.on('error', () => toClient(() => client.resetAndDestroy()))
    client.on('close', () => machine.destroy())
  })
  await new Promise((resolve) => server.listen(0, listenHost, resolve))
  return { host: listenHost, port: server.address().port, stop: () => server.close() }
}

module.exports = { startLink }
