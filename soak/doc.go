// Command soak runs daemons as separate processes against a fake of the users'
// platform, injects faults from outside the processes and checks what clients
// and workers observe. A seed determines the schedule of the faults and the
// jobs. The flags and the report call a worker a runner.
package main
