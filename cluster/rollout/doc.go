// Package rollout keeps the configuration in force at this daemon, spreads it
// between daemons and decides whether it is fresh enough to honour keys.
package rollout
