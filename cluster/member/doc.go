// Package member keeps the table of daemons, their rows in the table service
// and the rule for when a daemon has left the cell.
package member
