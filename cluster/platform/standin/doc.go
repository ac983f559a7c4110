// Package standin is an in-memory stand-in for the platform, with latencies,
// rate limits and faults that can be changed while it runs. It also serves the
// platform and its runners over HTTP.
package standin
