package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/paidlink"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// defaultSlots and defaultConnections apply to runners whose VM entry doesn't set them.
	defaultSlots       = 8
	defaultConnections = 64
	// idleConnTTL is how long an unused connection is kept.
	idleConnTTL = 30 * time.Second
)

// tier orders runners by the cost of the network path to them.
type tier int

const (
	// tierZone is the zone of this daemon.
	tierZone tier = iota
	// tierRegion is another zone of the same region.
	tierRegion
	// tierPaid is another region, whose traffic is charged.
	tierPaid
	tierCount
)

// runner is an upstream VM of a service as this daemon sees it. It is guarded by Gateway.mu.
type runner struct {
	// slotQuota counts the slots that this daemon may use.
	*slotQuota
	// vm is the VM as first listed; it never changes, so it is read without the lock.
	vm      platform.VM
	service *service
	// maxConnections is the limit on connections to the runner over all daemons.
	maxConnections int
	tier           tier
	leaving        bool
	// removed means that the platform no longer lists the VM.
	removed   bool
	idleConns []*runnerConn
	// connections counts all connections of this daemon, idle or in use.
	connections int
	// connGeneration is incremented to invalidate all open connections.
	connGeneration int
	health         runnerHealth
	latency        durationEstimate
	// checkingStall is set while checkStalled probes the runner.
	checkingStall bool
}

func (r *runner) id() cluster.UpstreamID { return cluster.UpstreamID(r.vm.ID) }

// available reports whether the runner accepts new requests.
func (r *runner) available() bool { return !r.leaving && !r.removed && !r.health.ejected }

// hasFreeSlot reports whether the runner can be given another request.
func (r *runner) hasFreeSlot() bool { return r.available() && r.inFlight < r.usableSlots() }

// usableSlots returns the number of slots that can be used at once; each needs a connection.
func (r *runner) usableSlots() int { return min(r.limit, r.connectionLimit()) }

// load returns the fraction of the usable slots that is in use.
func (r *runner) load() float64 { return float64(r.inFlight) / float64(max(r.usableSlots(), 1)) }

// connectionLimit returns the number of connections that this daemon may open. Its share in
// proportion to its slots keeps the sum over all daemons within the runner's limit
// even while the daemons have different views of the members.
func (r *runner) connectionLimit() int {
	total, slots := r.maxConnections, max(r.capacity, 1)
	return max(min(total/max(r.service.memberCount, 1), total*r.limit/slots), min(r.limit, 1))
}

// byteCounter returns a function that counts bytes over the paid link to the runner's region.
func (r *runner) byteCounter(g *Gateway) func(int) {
	region := r.vm.Place.Region
	return func(n int) { g.cfg.PaidLink.Count(paidlink.CauseRequest, region, n) }
}

// popIdle removes and returns the most recently used idle connection. A request that must
// not be repeated only gets a connection that was verified as alive recently.
func (r *runner) popIdle(now time.Time, requireVerified bool) *runnerConn {
	for len(r.idleConns) > 0 {
		conn := r.idleConns[len(r.idleConns)-1]
		if conn.generation == r.connGeneration && conn.usable() {
			if requireVerified && now.Sub(conn.verifiedAt) > verifiedTTL {
				return nil
			}
			r.idleConns = r.idleConns[:len(r.idleConns)-1]
			return conn
		}
		r.idleConns = r.idleConns[:len(r.idleConns)-1]
		r.closeConn(conn)
	}
	return nil
}

// closeConn closes a connection and stops counting it.
func (r *runner) closeConn(conn *runnerConn) {
	conn.close()
	r.connections--
}

// trimIdle closes idle connections above the connection limit, in excess of the slots or
// unused for too long, and all of them if the runner accepts no new requests.
func (r *runner) trimIdle(limit int, now time.Time) {
	if r.leaving || r.removed {
		limit = 0
	}
	for len(r.idleConns) > 0 && (r.connections > limit || len(r.idleConns) > r.limit || now.Sub(r.idleConns[0].verifiedAt) > idleConnTTL) {
		r.closeConn(r.idleConns[0])
		r.idleConns = slices.Delete(r.idleConns, 0, 1)
	}
}

// invalidateConns closes all idle connections and keeps those in use from being reused.
func (r *runner) invalidateConns() {
	r.connGeneration++
	for _, conn := range r.idleConns {
		r.closeConn(conn)
	}
	r.idleConns = nil
}

// acquireConn returns an idle connection to a runner or opens a new one.
func (g *Gateway) acquireConn(ctx context.Context, r *runner, requireVerified bool) (*runnerConn, error) {
	g.mu.Lock()
	now := g.cfg.Clock()
	stallTimeout := max(stallFactor*r.service.serviceTime.upperBound(now), minStallTimeout)
	if conn := r.popIdle(now, requireVerified); conn != nil {
		conn.stallTimeout = stallTimeout
		g.mu.Unlock()
		return conn, nil
	}
	// The slots already limit the connections in use; an idle one is closed to stay within the connection limit.
	r.trimIdle(r.connectionLimit()-1, now)
	r.connections++
	generation := r.connGeneration
	g.mu.Unlock()
	conn, err := g.dial(ctx, r.vm.Addr, r.byteCounter(g))
	if err != nil {
		g.mu.Lock()
		r.connections--
		g.mu.Unlock()
		return nil, err
	}
	conn.generation, conn.stallTimeout = generation, stallTimeout
	return conn, nil
}

// releaseConn returns a connection to the idle ones or closes it.
func (g *Gateway) releaseConn(r *runner, conn *runnerConn, reusable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !reusable || conn.generation != r.connGeneration || !r.available() || g.closed {
		r.closeConn(conn)
		return
	}
	conn.verifiedAt = g.cfg.Clock()
	r.idleConns = append(r.idleConns, conn)
	r.trimIdle(r.connectionLimit(), conn.verifiedAt)
}
