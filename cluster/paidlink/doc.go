// Package paidlink counts the bytes that a process exchanges with other regions,
// by cause. Traffic between regions is charged by volume.
package paidlink
