// Package admission decides whether a job that a client submits is accepted while its pool is full. The decision is
// pure: Decide gets the time, the job, the load reports of the owners of the pools and what this daemon has admitted
// since, and returns a verdict. In doubt it admits, as the rejection of a job that could have been served costs more than
// a job that is late.
package admission
