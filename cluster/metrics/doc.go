// Package metrics creates the metrics registry of a process and serves it in
// Prometheus format.
package metrics
