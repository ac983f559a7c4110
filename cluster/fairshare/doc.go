// Package fairshare decides how far the waiting work of a team is moved back while a pool is full: it divides the
// capacity by the teams' weights, keeps a ledger of their decayed past usage, and turns both into a factor for each
// team. It reads no clock and keeps nothing but the ledger.
package fairshare
