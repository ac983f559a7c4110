// Package cluster holds the domain types that all parts of goldcrestshift share:
// resources, teams, keys, queues, workloads, jobs, tasks, workers, racks and zones.
//
// The types carry no codec tags. Each package that reads or writes them in a
// format maps them to its own wire types.
package cluster
