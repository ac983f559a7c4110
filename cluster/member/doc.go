// Package member tracks the daemons of a cell: it maintains their member rows
// in the table service and decides when a daemon has left the cell.
package member
