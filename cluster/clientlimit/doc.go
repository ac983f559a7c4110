// Package clientlimit bounds what clients outside our control can make a process hold: the memory of request bodies
// and of what is decoded from them, and the connections of each listener.
package clientlimit
