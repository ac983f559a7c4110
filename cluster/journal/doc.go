// Package journal commits changes to the table service in batches and
// determines the result of a transaction whose reply was lost.
package journal
