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
	"github.com/goldcrestshift/goldcrestshift/cluster/record"
)

const (
	idemPrefix = "idem/"
	// maxRecordedResponse is the largest response, header and body in bytes, that a row records
	// completely. Of a larger response only the status and the body size are recorded.
	maxRecordedResponse = 64 << 10
	idemReadTimeout     = 3 * time.Second
	// The delay before a failed write of a row is retried doubles from recordMinDelay to recordMaxDelay.
	recordMinDelay = 100 * time.Millisecond
	recordMaxDelay = 5 * time.Second
	// inProgressRetryAfter is the delay after which a repeat may find the response of a request in progress.
	inProgressRetryAfter = time.Second
)

// idemState is the state of the request that an idempotency row describes.
type idemState string

const (
	idemRunning idemState = "running"
	idemDone    idemState = "done"
	// idemUnknown means that the request may have been run and that its response was lost.
	idemUnknown idemState = "unknown"
)

// idemRecord is the encoding of a row `idem/<team>/<key>`.
type idemRecord struct {
	// Digest is the hash of the request, Daemon the daemon that processes it and ID its identifier.
	Digest []byte    `msgpack:"digest"`
	Daemon string    `msgpack:"daemon"`
	ID     string    `msgpack:"id"`
	State  idemState `msgpack:"state"`
	// UpdatedAt is when the record was last changed, in Unix milliseconds.
	UpdatedAt int64               `msgpack:"at"`
	Status    int                 `msgpack:"status,omitempty"`
	Header    map[string][]string `msgpack:"header,omitempty"`
	Body      []byte              `msgpack:"body,omitempty"`
	// Size is the length of the response body; BodyRecorded means that Body holds it.
	Size         int  `msgpack:"size,omitempty"`
	BodyRecorded bool `msgpack:"kept,omitempty"`
}

func (r *idemRecord) encode() ([]byte, error) {
	data, err := msgpack.Marshal(r)
	if err != nil {
		return nil, &Error{Op: "encode idempotency key", Kind: KindMalformed, Err: err}
	}
	return data, nil
}

func decodeIdemRecord(data []byte) (*idemRecord, error) {
	decoded := new(idemRecord)
	if err := record.Unmarshal(data, decoded); err != nil {
		return nil, &Error{Op: "decode idempotency key", Kind: KindMalformed, Err: err}
	}
	return decoded, nil
}

// digest returns a hash of what a request asks for; each part is preceded by its length.
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

// idemRowKey returns the key of the request's idempotency row.
func (c *call) idemRowKey() string { return idemPrefix + string(c.team) + "/" + c.idemKey }

// serveWithKey routes a request. A request with an Idempotency-Key is recorded in a
// row before it is sent, so that every daemon recognizes a repeat.
func (g *Gateway) serveWithKey(ctx context.Context, c *call) (*response, *problem) {
	if c.idemKey == "" {
		return g.route(ctx, c)
	}
	record := &idemRecord{
		Digest: c.digest(), Daemon: string(g.cfg.Self), ID: c.id, State: idemRunning, UpdatedAt: g.cfg.Clock().UnixMilli(),
	}
	rowKey := c.idemRowKey()
	if first := g.idemKeys.claim(rowKey, record); first != nil {
		return g.respondToRepeat(record, first)
	}
	if p := g.checkAdmissible(c); p != nil {
		g.idemKeys.remove(rowKey)
		return nil, p
	}
	version, resp, p := g.insertIdemRow(ctx, rowKey, record)
	if resp != nil || p != nil {
		return resp, p
	}
	resp, p = g.route(ctx, c)
	g.recordResult(rowKey, version, record, resp, p, c.mayHaveRun)
	return resp, p
}

// insertIdemRow writes the row of a new key. If the row exists already, it returns the response
// or the problem for a repeat. In no case has the request been sent when it returns.
func (g *Gateway) insertIdemRow(ctx context.Context, rowKey string, record *idemRecord) (cluster.Version, *response, *problem) {
	type result struct {
		version cluster.Version
		err     error
	}
	done := make(chan result, 1)
	// The commit is not tied to the request, because a row inserted after the deadline has to be deleted again.
	insert := func() {
		version, err := g.commitIdemRow(g.ctx, rowKey, 0, record)
		done <- result{version, err}
	}
	if !g.runInBackground(insert) {
		g.idemKeys.remove(rowKey)
		return 0, nil, keyNotRecorded("the daemon is stopping")
	}
	select {
	case r := <-done:
		return g.handleInsertResult(ctx, rowKey, record, r.version, r.err)
	case <-ctx.Done():
		g.runAsActiveWork(func() {
			if r := <-done; r.err == nil {
				g.deleteIdemRow(rowKey, r.version)
			}
			g.idemKeys.remove(rowKey)
		})
		return 0, nil, keyNotRecorded("the row was not written before the deadline")
	}
}

// keyNotRecorded returns the problem for a request whose row could not be written.
func keyNotRecorded(detail string) *problem {
	return notRunProblem(http.StatusServiceUnavailable, "idempotency key can't be recorded", "%s", detail).withRetryAfter(0)
}

// handleInsertResult evaluates the result of inserting a row.
func (g *Gateway) handleInsertResult(ctx context.Context, rowKey string, record *idemRecord, version cluster.Version, err error) (cluster.Version, *response, *problem) {
	if err == nil {
		return version, nil, nil
	}
	defer func() {
		if version == 0 {
			g.idemKeys.remove(rowKey)
		}
	}()
	if !journal.IsKind(err, journal.KindConflict) {
		return 0, nil, keyNotRecorded(err.Error())
	}
	existing, existingVersion, err := g.readIdemRow(ctx, rowKey)
	if err != nil {
		// The row exists, so the first request with this key may have been run.
		p := unknownRunProblem(http.StatusServiceUnavailable, "idempotency key can't be read", "%v", err)
		return 0, nil, p.withRetryAfter(0)
	}
	if existing == nil {
		return 0, nil, keyNotRecorded("the row of an earlier request was just deleted")
	}
	if existing.ID == record.ID {
		// The conflict is with this insertion itself, whose acknowledgement was lost.
		version = existingVersion
		return version, nil, nil
	}
	resp, p := g.respondToRepeat(record, existing)
	return 0, resp, p
}

func (g *Gateway) commitIdemRow(ctx context.Context, rowKey string, version cluster.Version, record *idemRecord) (cluster.Version, error) {
	data, err := record.encode()
	if err != nil {
		return 0, err
	}
	return g.cfg.Journal.Commit(ctx, journal.Change{
		Checks: []platform.Check{{Key: rowKey, Version: version}},
		Puts:   []platform.Put{{Key: rowKey, Value: data}},
	})
}

func (g *Gateway) readIdemRow(ctx context.Context, rowKey string) (*idemRecord, cluster.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, idemReadTimeout)
	defer cancel()
	reply, err := g.cfg.Store.Read(ctx, platform.ReadRequest{Keys: []string{rowKey}})
	if err != nil {
		return nil, 0, err
	}
	for _, r := range reply.Rows {
		if r.Key == rowKey && !r.Deleted {
			record, err := decodeIdemRecord(r.Value)
			return record, r.Version, err
		}
	}
	return nil, 0, nil
}

// respondToRepeat returns the response to a request whose key was used before.
func (g *Gateway) respondToRepeat(repeat, first *idemRecord) (*response, *problem) {
	if !slices.Equal(repeat.Digest, first.Digest) {
		return nil, notRunProblem(http.StatusUnprocessableEntity, "idempotency key reused",
			"the key was used for a request with another method, path or body")
	}
	switch first.State {
	case idemDone:
		if !first.BodyRecorded {
			p := unknownRunProblem(http.StatusGone, "answer not kept",
				"the first request was answered with status %d; its answer of %d bytes was too large to keep", first.Status, first.Size)
			return nil, p
		}
		return &response{status: first.Status, header: first.Header, body: first.Body, replayed: true}, nil
	case idemRunning:
		if g.isMember(cluster.DaemonID(first.Daemon)) {
			return nil, unknownRunProblem(http.StatusConflict, "request in progress", "the first request with this key has no answer yet").withRetryAfter(inProgressRetryAfter)
		}
	}
	return nil, unknownRunProblem(http.StatusBadGateway, "answer lost", "whether the first request with this key was run is not known")
}

// isMember reports whether the daemon has not left.
func (g *Gateway) isMember(d cluster.DaemonID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d == g.cfg.Self || slices.Contains(g.membership.all, d)
}

// recordResult records the result of a request with a key in the background. Until the
// row is written, this daemon responds to repeats from memory.
func (g *Gateway) recordResult(rowKey string, version cluster.Version, first *idemRecord, resp *response, p *problem, mayHaveRun bool) {
	if p != nil && p.run == runStatusNo && !mayHaveRun {
		g.runAsActiveWork(func() {
			g.deleteIdemRow(rowKey, version)
			g.idemKeys.remove(rowKey)
		})
		return
	}
	result := *first
	result.UpdatedAt = g.cfg.Clock().UnixMilli()
	result.State = idemUnknown
	if resp != nil {
		result.State, result.Status, result.Size = idemDone, resp.status, len(resp.body)
		if len(resp.body)+headerSize(resp.header) <= maxRecordedResponse {
			result.BodyRecorded, result.Header, result.Body = true, resp.header, resp.body
		}
	}
	g.idemKeys.update(rowKey, &result)
	g.runAsActiveWork(func() {
		if newVersion, ok := g.writeResult(rowKey, version, &result); ok {
			g.idemKeys.addExpiring(expiringRow{rowKey, newVersion, g.cfg.Clock().Add(g.cfg.Retention)})
			g.idemKeys.remove(rowKey)
		}
	})
}

func headerSize(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

// runAsActiveWork runs f in the background as active work, so that Drain waits for it.
func (g *Gateway) runAsActiveWork(f func()) {
	g.mu.Lock()
	g.activeWork++
	g.mu.Unlock()
	if !g.runInBackground(func() { defer g.endWork(); f() }) {
		g.endWork()
	}
}

// runInBackground runs f on a goroutine that Close waits for; it returns false after Close.
func (g *Gateway) runInBackground(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.wg.Go(f)
	return true
}

// writeResult writes the result of a request and retries until the write is known to be applied.
func (g *Gateway) writeResult(rowKey string, version cluster.Version, record *idemRecord) (newVersion cluster.Version, ok bool) {
	ok = g.retryUntilDone(func() bool {
		var err error
		newVersion, err = g.commitIdemRow(g.ctx, rowKey, version, record)
		if journal.IsKind(err, journal.KindConflict) {
			// Only this daemon writes the row while it is a member.
			g.cfg.Log.Error().Str("row", rowKey).Msg("gateway: idempotency row changed by another daemon")
			return true
		}
		return err == nil
	})
	return newVersion, ok
}

// deleteIdemRow deletes the row of a request that was not run.
func (g *Gateway) deleteIdemRow(rowKey string, version cluster.Version) {
	g.retryUntilDone(func() bool {
		_, err := g.cfg.Journal.Commit(g.ctx, deleteChange(rowKey, version))
		return err == nil || journal.IsKind(err, journal.KindConflict)
	})
}

// retryUntilDone calls f with growing delays until f returns true; it returns false if the
// gateway is closed first.
func (g *Gateway) retryUntilDone(f func() bool) bool {
	delay := recordMinDelay
	for !f() {
		g.mu.Lock()
		wait := g.jitter(delay)
		g.mu.Unlock()
		select {
		case <-time.After(wait):
		case <-g.ctx.Done():
			return false
		}
		delay = min(2*delay, recordMaxDelay)
	}
	return true
}
