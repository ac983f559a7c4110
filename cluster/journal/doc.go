// Package journal commits changes to the table service in groups and finds out
// the result of a transaction whose answer was lost.
package journal
