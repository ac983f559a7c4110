// Package note reads release notes, checks and plans them against the
// configuration in force, and applies them in one transaction.
package note
