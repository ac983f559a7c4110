// Package invariant records violations of the properties that always hold.
package invariant
