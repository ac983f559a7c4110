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
	// defaultSlots and defaultConnections apply to runners whose VM entry leaves them out.
	defaultSlots       = 8
	defaultConnections = 64
	// idleFor is how long an unused link is kept.
	idleFor = 30 * time.Second
)

// tier orders runners by the cost of reaching them.
type tier int

const (
	tierZone tier = iota
	tierRegion
	tierPaid
	tiers
)

// runner is an upstream VM of a service as seen by this daemon. It is guarded by Gateway.mu.
type runner struct {
	// unit counts the slots that this daemon may use.
	*unit
	// vm is as first listed; it is read without the lock and never changed.
	vm      platform.VM
	service *service
	// allConnections is the number of connections that all daemons may hold.
	allConnections int
	tier           tier
	leaving        bool
	// removed says that the platform no longer lists the VM.
	removed bool
	idle    []*link
	// connections counts all links, idle or not.
	connections int
	// epoch is raised to make all idle links unusable.
	epoch    int
	outlier  outlier
	latency  estimate
	checking bool
}

func (r *runner) id() cluster.UpstreamID { return cluster.UpstreamID(r.vm.ID) }

// available reports whether the runner may be given new work.
func (r *runner) available() bool { return !r.leaving && !r.removed && !r.outlier.ejected }

func (r *runner) free() bool { return r.available() && r.inFlight < r.usable() }

// usable is the number of slots that can be used at once; each needs a connection.
func (r *runner) usable() int { return min(r.limit, r.connectionLimit()) }

// load is the part of the lent slots that is in use.
func (r *runner) load() float64 { return float64(r.inFlight) / float64(max(r.usable(), 1)) }

// connectionLimit is the number of connections that this daemon may hold. The
// part in proportion to the slots keeps the sum over all daemons within the
// runner's limit even while daemons have different views of the members.
func (r *runner) connectionLimit() int {
	total, slots := r.allConnections, max(r.capacity, 1)
	return max(min(total/max(r.service.members, 1), total*r.limit/slots), min(r.limit, 1))
}

func (r *runner) count(g *Gateway) func(int) {
	region := r.vm.Place.Region
	return func(n int) { g.cfg.PaidLink.Count(paidlink.CauseRequest, region, n) }
}

// takeIdle removes the idle link that was used last. A request that must not be
// repeated only gets one proved alive recently.
func (r *runner) takeIdle(now time.Time, verified bool) *link {
	for len(r.idle) > 0 {
		l := r.idle[len(r.idle)-1]
		if l.epoch == r.epoch && l.usable() {
			if verified && now.Sub(l.verified) > verifiedFor {
				return nil
			}
			r.idle = r.idle[:len(r.idle)-1]
			return l
		}
		r.idle = r.idle[:len(r.idle)-1]
		r.drop(l)
	}
	return nil
}

func (r *runner) drop(l *link) {
	l.close()
	r.connections--
}

// trimIdle closes idle links that are over the limit of connections, that
// outnumber the slots or that weren't used for long, and all if the runner takes no new work.
func (r *runner) trimIdle(limit int, now time.Time) {
	if r.leaving || r.removed {
		limit = 0
	}
	for len(r.idle) > 0 && (r.connections > limit || len(r.idle) > r.limit || now.Sub(r.idle[0].verified) > idleFor) {
		r.drop(r.idle[0])
		r.idle = slices.Delete(r.idle, 0, 1)
	}
}

// suspect closes all idle links and keeps those in use from being reused.
func (r *runner) suspect() {
	r.epoch++
	for _, l := range r.idle {
		r.drop(l)
	}
	r.idle = nil
}

// obtain returns a link to a runner, an idle one or a new one.
func (g *Gateway) obtain(ctx context.Context, r *runner, verified bool) (*link, error) {
	g.mu.Lock()
	if l := r.takeIdle(g.cfg.Clock(), verified); l != nil {
		g.mu.Unlock()
		return l, nil
	}
	// The slot already limits the links in use; idle ones make room.
	r.trimIdle(r.connectionLimit()-1, g.cfg.Clock())
	r.connections++
	epoch := r.epoch
	g.mu.Unlock()
	l, err := g.dial(ctx, r.vm.Addr, r.count(g))
	if err != nil {
		g.mu.Lock()
		r.connections--
		g.mu.Unlock()
		return nil, err
	}
	l.epoch = epoch
	return l, nil
}

// giveBack makes a link idle again or closes it.
func (g *Gateway) giveBack(r *runner, l *link, reusable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !reusable || l.epoch != r.epoch || !r.available() || g.closed {
		r.drop(l)
		return
	}
	l.verified = g.cfg.Clock()
	r.idle = append(r.idle, l)
	r.trimIdle(r.connectionLimit(), l.verified)
}
