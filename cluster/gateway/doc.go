// Package gateway routes requests from callers to the runners of services.
//
// A request is authorized, queued per team, given a slot of a runner that this
// daemon may use, sent, and its answer is passed on whole or not at all.
// Non-idempotent requests are sent at most once.
package gateway
