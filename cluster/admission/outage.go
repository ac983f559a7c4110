package admission

import "time"

const (
	// outageStep is the age of an outage of the store for each further second of the Retry-After, up to maxOutageReturn.
	outageStep = 2 * time.Second
	// maxOutageReturn is the longest Retry-After in an outage. Clients return some 4 times, so that they get past an
	// outage of some 8 s instead of 4 s.
	maxOutageReturn = 4 * time.Second
)

// OutageReturn returns after which time a client should return whose job can't be written because the store has been
// unavailable for the given time: 1 s at first, up to 4 s in a longer outage, in whole seconds. The part of the spread, in
// [0, 1), distributes the clients over the times from the half of the longest one on.
func OutageReturn(age time.Duration, part float64) time.Duration {
	longest := min(maxOutageReturn, minReturn+max(0, age)/outageStep*time.Second+time.Second)
	shortest := max(minReturn, longest/2)
	return (shortest + spread(part, longest-shortest+time.Second)).Truncate(time.Second)
}

// SpreadReturn spreads the return of clients over half of the given time after it. The part of the spread is in [0, 1).
func SpreadReturn(t time.Duration, part float64) time.Duration {
	return t + spread(part, max(minReturn, t/2))
}
