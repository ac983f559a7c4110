// Package cluster defines the domain types that all packages of goldcrestshift share:
// resources, teams, keys, queues, workloads, jobs, tasks, workers, racks and zones.
//
// The types have no codec tags: each package that encodes or decodes them maps
// them to wire types of its own.
package cluster
