// Package workload defines the jobs that run on a pool of workers: their steps and the dependencies between
// them, their occurrences, their recorded progress, and the encoding of both as rows of the table service.
package workload
