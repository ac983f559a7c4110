// Package gateway routes requests from callers to the runners of services.
//
// The gateway authorizes each request, queues it per team, assigns it a free slot
// of a runner and forwards it. A response is passed on only if it is complete, and
// a non-idempotent request is sent at most once.
//
// The daemons divide the slots of every runner among themselves through rows of the
// table service, so that a runner never gets more requests at once than it has slots.
package gateway
