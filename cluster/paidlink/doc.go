// Package paidlink counts the bytes that cross the link between regions, by cause.
package paidlink
