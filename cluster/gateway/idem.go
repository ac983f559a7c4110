package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	keyPrefix = "idem/"
	// maxKept is the largest answer kept in a row; larger ones are recorded without their body.
	maxKept     = 64 << 10
	readTimeout = 3 * time.Second
	recordFirst = 100 * time.Millisecond
	recordMax   = 5 * time.Second
	// progressRetry is when a repeat may find the answer of a request in progress.
	progressRetry = time.Second
)

// keyState is the state of the request that an idempotency row stands for.
type keyState string

const (
	keyRunning keyState = "running"
	keyDone    keyState = "done"
	// keyUnknown is a request that may have been run and whose answer was lost.
	keyUnknown keyState = "unknown"
)

// keyRecord is the encoding of a row `idem/<team>/<key>`.
type keyRecord struct {
	Digest []byte              `msgpack:"digest"`
	Daemon string              `msgpack:"daemon"`
	ID     string              `msgpack:"id"`
	State  keyState            `msgpack:"state"`
	At     int64               `msgpack:"at"`
	Status int                 `msgpack:"status,omitempty"`
	Header map[string][]string `msgpack:"header,omitempty"`
	Body   []byte              `msgpack:"body,omitempty"`
	// Size is the length of the answer's body; Kept says that Body holds it.
	Size int  `msgpack:"size,omitempty"`
	Kept bool `msgpack:"kept,omitempty"`
}

func (k *keyRecord) encode() ([]byte, error) {
	data, err := msgpack.Marshal(k)
	if err != nil {
		return nil, &Error{Op: "encode idempotency key", Kind: KindMalformed, Err: err}
	}
	return data, nil
}

func decodeKey(data []byte) (*keyRecord, error) {
	k := new(keyRecord)
	if err := msgpack.Unmarshal(data, k); err != nil {
		return nil, &Error{Op: "decode idempotency key", Kind: KindMalformed, Err: err}
	}
	return k, nil
}

// digest identifies what a request asks for; each part is preceded by its length.
func (c *call) digest() []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.method), []byte(c.service), []byte(c.path), []byte(c.query), c.body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return h.Sum(nil)
}

func (c *call) rowKey() string { return keyPrefix + string(c.team) + "/" + c.key }

// serveKeyed routes a request; one with an Idempotency-Key is recorded in a row
// before it is sent, so that any daemon recognizes a repeat.
func (g *Gateway) serveKeyed(ctx context.Context, c *call) (*answer, *problem) {
	if c.key == "" {
		return g.route(ctx, c)
	}
	record := &keyRecord{
		Digest: c.digest(), Daemon: string(g.cfg.Self), ID: c.id, State: keyRunning, At: g.cfg.Clock().UnixMilli(),
	}
	row := c.rowKey()
	if other := g.keys.claim(row, record); other != nil {
		return g.repeat(record, other)
	}
	if p := g.precheck(c); p != nil {
		g.keys.forget(row)
		return nil, p
	}
	version, a, p := g.insertKey(ctx, row, record)
	if a != nil || p != nil {
		return a, p
	}
	a, p = g.route(ctx, c)
	g.concludeKey(row, version, record, a, p, c.mayHaveRun)
	return a, p
}

// insertKey writes the row of a new key. If the row exists the result is that
// of a repeat. Whatever goes wrong here, the request has not been sent.
func (g *Gateway) insertKey(ctx context.Context, row string, record *keyRecord) (cluster.Version, *answer, *problem) {
	type result struct {
		version cluster.Version
		err     error
	}
	done := make(chan result, 1)
	// The commit outlives the request, because a row inserted too late has to be deleted.
	insert := func() {
		version, err := g.commitKey(g.ctx, row, 0, record)
		done <- result{version, err}
	}
	if !g.background(insert) {
		g.keys.forget(row)
		return 0, nil, keyRefused("the daemon is stopping")
	}
	select {
	case r := <-done:
		return g.inserted(ctx, row, record, r.version, r.err)
	case <-ctx.Done():
		g.conclude(func() {
			if r := <-done; r.err == nil {
				g.deleteKey(row, r.version)
			}
			g.keys.forget(row)
		})
		return 0, nil, keyRefused("the row was not written before the deadline")
	}
}

func keyRefused(detail string) *problem {
	return refuse(http.StatusServiceUnavailable, "idempotency key can't be recorded", "%s", detail).retry(0)
}

// inserted handles the result of inserting a row.
func (g *Gateway) inserted(ctx context.Context, row string, record *keyRecord, version cluster.Version, err error) (cluster.Version, *answer, *problem) {
	if err == nil {
		return version, nil, nil
	}
	defer func() {
		if version == 0 {
			g.keys.forget(row)
		}
	}()
	if !journal.IsKind(err, journal.KindConflict) {
		return 0, nil, keyRefused(err.Error())
	}
	found, at, err := g.readKey(ctx, row)
	if err != nil {
		return 0, nil, keyRefused(err.Error())
	}
	if found == nil {
		return 0, nil, keyRefused("the row of an earlier request was just deleted")
	}
	if found.ID == record.ID {
		// The conflict is with this insertion itself, whose answer was lost.
		version = at
		return version, nil, nil
	}
	a, p := g.repeat(record, found)
	return 0, a, p
}

func (g *Gateway) commitKey(ctx context.Context, row string, version cluster.Version, record *keyRecord) (cluster.Version, error) {
	data, err := record.encode()
	if err != nil {
		return 0, err
	}
	return g.cfg.Journal.Commit(ctx, journal.Change{
		Checks: []platform.Check{{Key: row, Version: version}},
		Puts:   []platform.Put{{Key: row, Value: data}},
	})
}

func (g *Gateway) readKey(ctx context.Context, row string) (*keyRecord, cluster.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	reply, err := g.cfg.Store.Read(ctx, platform.ReadRequest{Keys: []string{row}})
	if err != nil {
		return nil, 0, err
	}
	for _, r := range reply.Rows {
		if r.Key == row && !r.Deleted {
			record, err := decodeKey(r.Value)
			return record, r.Version, err
		}
	}
	return nil, 0, nil
}

// repeat answers a request whose key was used before.
func (g *Gateway) repeat(mine, first *keyRecord) (*answer, *problem) {
	if !slices.Equal(mine.Digest, first.Digest) {
		return nil, refuse(http.StatusUnprocessableEntity, "idempotency key reused",
			"the key was used for a request with another method, path or body")
	}
	switch first.State {
	case keyDone:
		if !first.Kept {
			p := uncertain(http.StatusGone, "answer not kept",
				"the first request was answered with status %d; its answer of %d bytes was too large to keep", first.Status, first.Size)
			return nil, p
		}
		return &answer{status: first.Status, header: first.Header, body: first.Body, replayed: true}, nil
	case keyRunning:
		if g.isMember(cluster.DaemonID(first.Daemon)) {
			return nil, uncertain(http.StatusConflict, "request in progress", "the first request with this key has no answer yet").retry(progressRetry)
		}
	}
	return nil, uncertain(http.StatusBadGateway, "answer lost", "whether the first request with this key was run is not known")
}

func (g *Gateway) isMember(d cluster.DaemonID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d == g.cfg.Self || slices.Contains(g.fleet.all, d)
}

// concludeKey records the end of a keyed request in the background; until that
// is done this daemon answers repeats from memory.
func (g *Gateway) concludeKey(row string, version cluster.Version, first *keyRecord, a *answer, p *problem, mayHaveRun bool) {
	if p != nil && p.run == runNo && !mayHaveRun {
		g.conclude(func() {
			g.deleteKey(row, version)
			g.keys.forget(row)
		})
		return
	}
	end := *first
	end.At = g.cfg.Clock().UnixMilli()
	end.State = keyUnknown
	if a != nil {
		end.State, end.Status, end.Size = keyDone, a.status, len(a.body)
		if len(a.body)+headerSize(a.header) <= maxKept {
			end.Kept, end.Header, end.Body = true, a.header, a.body
		}
	}
	g.keys.update(row, &end)
	g.conclude(func() {
		if written, ok := g.recordKey(row, version, &end); ok {
			g.keys.expire(expiringRow{row, written, g.cfg.Clock().Add(g.cfg.Retention)})
			g.keys.forget(row)
		}
	})
}

func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// conclude runs f in the background; Drain waits for it.
func (g *Gateway) conclude(f func()) {
	g.mu.Lock()
	g.active++
	g.mu.Unlock()
	if !g.background(func() { defer g.leave(); f() }) {
		g.leave()
	}
}

// background runs f on a goroutine that Close waits for; it returns false after Close.
func (g *Gateway) background(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.wg.Go(f)
	return true
}

// recordKey writes the end of a request until it is known to have been applied.
func (g *Gateway) recordKey(row string, version cluster.Version, record *keyRecord) (written cluster.Version, ok bool) {
	ok = g.persist(func() bool {
		var err error
		written, err = g.commitKey(g.ctx, row, version, record)
		if journal.IsKind(err, journal.KindConflict) {
			// Only this daemon writes the row while it is a member.
			g.cfg.Log.Error().Str("row", row).Msg("gateway: idempotency row changed by another daemon")
			return true
		}
		return err == nil
	})
	return written, ok
}

// deleteKey deletes the row of a request that was not run.
func (g *Gateway) deleteKey(row string, version cluster.Version) {
	g.persist(func() bool {
		_, err := g.cfg.Journal.Commit(g.ctx, deletion(row, version))
		return err == nil || journal.IsKind(err, journal.KindConflict)
	})
}

// persist calls f with growing delays until it succeeds or the gateway is closed.
func (g *Gateway) persist(f func() bool) bool {
	delay := recordFirst
	for !f() {
		g.mu.Lock()
		wait := g.jitter(delay)
		g.mu.Unlock()
		select {
		case <-time.After(wait):
		case <-g.ctx.Done():
			return false
		}
		delay = min(2*delay, recordMax)
	}
	return true
}
