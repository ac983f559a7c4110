package cell

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
)

// splitRow says how the shards of a service split the limits of the teams. Only
// the owner of a shard takes parts from that shard, so that a shard never loses
// parts that it uses.
type splitRow struct {
	// Epochs holds the epoch of each shard's owner. An owner writes its epoch
	// before it uses its shares, so that a transaction of its predecessor which is
	// carried out later finds another version of the row.
	Epochs []uint64 `msgpack:"Epochs"`
	// Loans numbers the changes that each shard's owner has made.
	Loans []uint64 `msgpack:"Loans"`
	// Teams holds the shares of each team, one for each shard, in units of
	// pool.WholeLimit; a team that is missing has equal shares.
	Teams map[string][]int `msgpack:"Teams"`
}

// shareSplit is what the owner of a shard knows of the split.
type shareSplit struct {
	mu      sync.Mutex
	row     splitRow
	version cluster.Version
	// loans counts the changes of this owner.
	loans uint64
	// seeking lets one search for a larger share run at a time.
	seeking atomic.Bool
}

type lendRequest struct {
	Shard string `msgpack:"Shard"`
	// To is the index of the shard that asks.
	To     int    `msgpack:"To"`
	Team   string `msgpack:"Team"`
	Wanted int    `msgpack:"Wanted"`
	// SinceMS is when the step that asks began to wait, in Unix milliseconds.
	SinceMS int64 `msgpack:"SinceMS"`
}

type lendReply struct {
	Given   int      `msgpack:"Given"`
	Split   splitRow `msgpack:"Split"`
	Version uint64   `msgpack:"Version"`
}

func (r *splitRow) valid(shards int) bool {
	if len(r.Epochs) != shards || len(r.Loans) != shards {
		return false
	}
	for _, shares := range r.Teams {
		if len(shares) != shards {
			return false
		}
	}
	return true
}

// shares returns a copy of the shares of a team.
func (r *splitRow) shares(team string) []int {
	shares := make([]int, len(r.Epochs))
	for i := range shares {
		if of, ok := r.Teams[team]; ok {
			shares[i] = of[i]
		} else {
			shares[i] = pool.EqualShare(i, len(shares))
		}
	}
	return shares
}

// of returns the shares of one shard.
func (r *splitRow) of(shard int) map[cluster.TeamName]int {
	own := map[cluster.TeamName]int{}
	for team, shares := range r.Teams {
		own[cluster.TeamName(team)] = shares[shard]
	}
	return own
}

// clone returns a copy that can be changed.
func (r *splitRow) clone() splitRow {
	c := splitRow{Epochs: append([]uint64(nil), r.Epochs...), Loans: append([]uint64(nil), r.Loans...), Teams: map[string][]int{}}
	for team, shares := range r.Teams {
		c.Teams[team] = append([]int(nil), shares...)
	}
	return c
}

// readSplit reads the row; a row that is not there has equal shares.
func (p *ownedPool) readSplit(ctx context.Context) (splitRow, cluster.Version, error) {
	shards := p.d.shardCount()
	empty := splitRow{Epochs: make([]uint64, shards), Loans: make([]uint64, shards)}
	reply, err := p.d.store.Read(ctx, platform.ReadRequest{Keys: []string{splitKey(p.id.Service)}})
	if err != nil || len(reply.Rows) == 0 {
		return empty, 0, err
	}
	row, err := decode[splitRow]("read split", reply.Rows[0].Value)
	if err != nil {
		return empty, 0, err
	}
	if !row.valid(shards) {
		return empty, 0, &Error{Op: "read split", Kind: KindMalformed}
	}
	return row, reply.Rows[0].Version, nil
}

// commitSplit changes the row until the change is known to be in the store; the
// lock of the split is held. change may be applied to several versions of the
// row. It returns false if the ownership ended.
func (p *ownedPool) commitSplit(change func(*splitRow)) bool {
	s := &p.split
	s.loans++
	for p.ctx.Err() == nil {
		next := s.row.clone()
		next.Epochs[p.id.Index], next.Loans[p.id.Index] = uint64(p.epoch), s.loans
		change(&next)
		data, err := encode("split", &next)
		if err != nil {
			p.d.cfg.Log.Error().Err(err).Msg("cell: split of the limits can't be written")
			return false
		}
		key := splitKey(p.id.Service)
		version, err := p.d.store.Commit(p.ctx, platform.Txn{
			Checks: []platform.Check{{Key: key, Version: s.version}}, Puts: []platform.Put{{Key: key, Value: data}},
		})
		if err == nil {
			s.row, s.version = next, version
			return true
		}
		p.d.cfg.Log.Info().Err(err).Stringer("shard", p.id).Uint64("loan", s.loans).Msg("cell: split of the limits not written; reading it back")
		row, version, err := p.readSplit(p.ctx)
		if err != nil {
			p.sleep(retryPause)
			continue
		}
		if row.Epochs[p.id.Index] > uint64(p.epoch) {
			p.lose("the split of the limits names a later owner")
			return false
		}
		s.row, s.version = row, version
		if row.Epochs[p.id.Index] == uint64(p.epoch) && row.Loans[p.id.Index] == s.loans {
			return true
		}
	}
	return false
}

// joinSplit writes the epoch of this owner and returns the shares of its shard.
func (p *ownedPool) joinSplit() (map[cluster.TeamName]int, error) {
	if p.d.shardCount() == 1 {
		return nil, nil
	}
	p.split.mu.Lock()
	defer p.split.mu.Unlock()
	var err error
	if p.split.row, p.split.version, err = p.readSplit(p.ctx); err != nil {
		return nil, err
	}
	if !p.commitSplit(func(*splitRow) {}) {
		return nil, &Error{Op: "join split", Kind: KindUnavailable, Err: errNotOwner}
	}
	return p.split.row.of(p.id.Index), nil
}

// lend gives parts of a team's limit to another shard. It does not wait for
// another change, as the caller may be gone by then.
func (p *ownedPool) lend(r lendRequest) (lendReply, error) {
	if !p.split.mu.TryLock() {
		return lendReply{}, &Error{Op: "lend", Kind: KindOverloaded}
	}
	defer p.split.mu.Unlock()
	if r.To < 0 || r.To >= p.d.shardCount() || r.To == p.id.Index {
		return lendReply{}, &Error{Op: "lend", Kind: KindMalformed}
	}
	given := 0
	if !p.query(func(s *pool.Scheduler) { given = s.Lend(cluster.TeamName(r.Team), r.Wanted, time.UnixMilli(r.SinceMS)) }) {
		return lendReply{}, &Error{Op: "lend", Kind: KindUnavailable, Err: errNotOwner}
	}
	if given > 0 {
		if !p.commitSplit(func(row *splitRow) {
			shares := row.shares(r.Team)
			shares[p.id.Index] -= given
			shares[r.To] += given
			row.Teams[r.Team] = shares
		}) {
			return lendReply{}, &Error{Op: "lend", Kind: KindUnavailable, Err: errNotOwner}
		}
		p.send(&pool.SharesChanged{Shares: p.split.row.of(p.id.Index)})
		p.d.cfg.Log.Info().Stringer("shard", p.id).Int("to", r.To).Str("team", r.Team).Int("wanted", r.Wanted).Int("given", given).Msg("cell: part of a limit lent")
	}
	return lendReply{Given: given, Split: p.split.row, Version: uint64(p.split.version)}, nil
}

// adoptSplit takes over a newer version of the split.
func (p *ownedPool) adoptSplit(row splitRow, version cluster.Version) {
	p.split.mu.Lock()
	defer p.split.mu.Unlock()
	if version <= p.split.version || !row.valid(p.d.shardCount()) {
		return
	}
	p.split.row, p.split.version = row, version
	p.send(&pool.SharesChanged{Shares: row.of(p.id.Index)})
}

// seekShare asks the owners of the other shards, one after the other, for parts of a team's limit.
func (p *ownedPool) seekShare(e *pool.RequestShare) {
	if !p.split.seeking.CompareAndSwap(false, true) {
		return
	}
	defer p.split.seeking.Store(false)
	shards := p.d.shardCount()
	missing := e.Missing
	first := rand.IntN(shards)
	for i := range shards {
		from := shardID{Service: p.id.Service, Index: (first + i) % shards}
		if from == p.id || missing <= 0 || p.ctx.Err() != nil {
			continue
		}
		reply, err := p.askShare(from, lendRequest{
			Shard: from.String(), To: p.id.Index, Team: string(e.Team), Wanted: missing, SinceMS: e.Since.UnixMilli(),
		})
		if err != nil {
			p.d.cfg.Log.Debug().Err(err).Stringer("shard", p.id).Stringer("from", from).Msg("cell: no part of a limit lent")
			continue
		}
		missing -= reply.Given
		p.adoptSplit(reply.Split, cluster.Version(reply.Version))
	}
}

func (p *ownedPool) askShare(from shardID, r lendRequest) (lendReply, error) {
	owner, ok := p.d.owner(from)
	if !ok {
		return lendReply{}, &Error{Op: "lend", Kind: KindUnavailable, Err: errNotOwner}
	}
	if owner == p.d.cfg.Self {
		return p.d.localLend(r)
	}
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	return call[lendReply](ctx, p.d, owner, methodLend, &r)
}

func (d *Daemon) localLend(r lendRequest) (lendReply, error) {
	p := d.pool(parseShard(r.Shard))
	if p == nil {
		return lendReply{}, &Error{Op: "lend", Kind: KindUnavailable, Err: errNotOwner}
	}
	return p.lend(r)
}
