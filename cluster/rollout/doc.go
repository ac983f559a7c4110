// Package rollout maintains this daemon's copy of the configuration, propagates
// changes between daemons and decides whether the copy is recent enough to
// honour API keys.
//
// The configuration changes by notes, which a daemon accepts from an operator
// and commits to the table service ("the store"). The version of the last
// accepted note is the head.
package rollout
