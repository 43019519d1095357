/** Clients of the platform: key-value store, instance list and status of backend servers. */
export * from './backendStatus.js'
export * from './httpBackendStatus.js'
export * from './httpInstanceList.js'
export * from './httpKeyValueStore.js'
export * from './instanceList.js'
export * from './keyValueStore.js'
