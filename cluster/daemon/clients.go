package daemon

import (
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/clientlimit"
	"github.com/goldcrestshift/goldcrestshift/cluster/gateway"
)

const (
	// memoryLimitFraction is the part of the process's memory that the Go runtime aims for. The rest is for what it exceeds
	// that by, and for data that was received and not read.
	memoryLimitFraction = 0.6
	// maxListings is the most calls to one listing at once, as each collects the state of all daemons.
	maxListings = 8
	// largeDecodeBytes is the estimate of the memory for decoding above which bodies are decoded one at a time.
	largeDecodeBytes = 128 << 10
	// decodeBytesPerByte and decodeBytesPerComma estimate that memory: buffers and slices grow by doubling, and a string may
	// grow to three times its size by the replacement of bytes that are not UTF-8.
	decodeBytesPerByte  = 6
	decodeBytesPerComma = 48
	// maxCountedFDs is above the descriptors that any limit uses.
	maxCountedFDs = 1 << 20
	// minBodies is the number of the largest bodies and responses that there is memory for.
	minBodies = 4
	// bodyRetryAfter is the Retry-After in seconds of a request for whose body there is no memory: slow bodies are closed
	// for others after less than that.
	bodyRetryAfter = "1"
)

// clientLimits returns the limits of this process for its clients.
func (d *Daemon) clientLimits() clientlimit.Limits {
	maxFDs := clientlimit.DefaultMaxFDs
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		d.log.Warn().Err(err).Int("assumed", maxFDs).Msg("daemon: the limit of open descriptors is not known")
	} else {
		maxFDs = int(min(limit.Cur, maxCountedFDs))
	}
	limits := clientlimit.Derive(d.cfg.MemoryLimit, maxFDs)
	limits.BodyBytes = max(limits.BodyBytes, minBodies*gateway.DefaultMaxBody)
	return limits
}

// updateBodyMemory sets the memory for bodies and responses. Operators may allow larger ones for a service.
func (d *Daemon) updateBodyMemory() {
	snapshot := d.rollout.Snapshot()
	if snapshot == nil {
		return
	}
	limits := d.clientLimits()
	for _, s := range snapshot.Services {
		limits.BodyBytes = max(limits.BodyBytes, minBodies*max(s.MaxBody, s.MaxAnswer))
	}
	d.clients.SetLimits(limits)
}

// readBody reads a body of at most limit bytes; if it is not accepted, it writes a refusal and returns false. The caller
// closes held.
func (d *Daemon) readBody(w http.ResponseWriter, r *http.Request, held *clientlimit.Body, limit int64) ([]byte, bool) {
	reader := clientlimit.BodyReader{Bodies: d.clients.Bodies, Held: held, MaxBytes: limit, MaxTime: clientlimit.MaxBodyTime}
	body, err := reader.Read(w, r)
	if err == nil {
		return body, true
	}
	d.refuseBody(w, err)
	return nil, false
}

// decode decodes a body within the memory for bodies: of those that take much, one at a time. It returns false after it has
// written a refusal.
func (d *Daemon) decode(w http.ResponseWriter, held *clientlimit.Body, body []byte, decode func()) bool {
	commas := 0
	for _, c := range body {
		if c == ',' || c == '\n' {
			commas++
		}
	}
	size := int64(decodeBytesPerByte*len(body) + decodeBytesPerComma*commas)
	if size > largeDecodeBytes {
		d.decoding.Lock()
		defer d.decoding.Unlock()
		// The memory of one large body is not counted. What is decoded from it stays.
		size = int64(cap(body)+len(body)) + int64(decodeBytesPerComma/3*commas)
	}
	if !d.clients.Bodies.Finish(time.Now(), held, size) {
		d.refuseBody(w, &clientlimit.Error{Op: "decode body", Kind: clientlimit.KindNoMemory})
		return false
	}
	decode()
	return true
}

// refuseBody writes the refusal of a request whose body is not accepted.
func (d *Daemon) refuseBody(w http.ResponseWriter, err error) {
	var refused *clientlimit.Error
	if !errors.As(err, &refused) {
		writeRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	if limit := refused.Limit(); limit != "" {
		d.clients.Refused(clientlimit.FrontListener, limit)
	}
	if refused.Status() == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", bodyRetryAfter)
	}
	writeRefusal(w, refused.Status(), refused.Error())
}

// limitListing limits the calls to a listing at once, and counts the memory of its responses.
func (d *Daemon) limitListing(list httprouter.Handle) http.Handler {
	return d.clients.Buffered(maxListings, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		list(w, r, httprouter.ParamsFromContext(r.Context()))
	}))
}

// wrapListener limits the connections of callers.
func (d *Daemon) wrapListener() *clientlimit.Listener {
	return d.clients.Wrap(clientlimit.FrontListener, d.listener)
}

// memoryTarget returns the memory that the Go runtime aims for.
func memoryTarget(limit cluster.Bytes) int64 { return int64(memoryLimitFraction * float64(limit)) }
