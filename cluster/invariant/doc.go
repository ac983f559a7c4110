// Package invariant records violations of the properties that must always hold.
package invariant
