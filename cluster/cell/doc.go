// Package cell runs a daemon on a platform whose workers are called one by one. The daemons that share a table
// service form a cell. Each daemon follows the configuration, writes submitted jobs to the table service and
// competes there for the ownership of shards. A pool is the workers of a service and is divided into shards. A
// shard has one owner, and the epoch of the ownership is the fencing token in requests to workers. Every daemon
// accepts jobs and serves requests for any job.
package cell
