// Package standin is an in-memory substitute for the platform for tests, demos
// and load runs. Its latencies, rate limits and faults can be changed while it
// runs. It also serves the platform and its runners over HTTP.
package standin
