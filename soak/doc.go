// Command soak runs daemons as separate processes beside a stand-in for the
// users' platform, injects faults from outside them and checks what clients and
// runners see. A seed fixes the schedule of the faults and the jobs.
package main
