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

// sharesRow holds the shares of the teams' limits that each shard of a service may use. Only the owner of a
// shard reduces the shares of that shard, so a shard never loses a share that it uses.
type sharesRow struct {
	// Epochs holds the epoch of each shard's owner. An owner writes its epoch before it uses its shares. This
	// changes the version of the row, so that a transaction of its previous owner that is committed later
	// fails.
	Epochs []uint64 `msgpack:"Epochs"`
	// ChangeNumbers holds the number of the last change by the owner of each shard.
	ChangeNumbers []uint64 `msgpack:"Loans"`
	// Teams holds the shares of each team, one per shard, in units of pool.WholeLimit. The shares of a team
	// that is missing are equal.
	Teams map[string][]int `msgpack:"Teams"`
}

// sharesState is the state of the shares row as the owner of a shard last read or wrote it.
type sharesState struct {
	// mu allows one change at a time and guards row, version and changeNumber. The load of the shard comes before
	// all other changes and does not take it, so that no request of another daemon can block the load.
	mu      sync.Mutex
	row     sharesRow
	version cluster.Version
	// changeNumber is the number of this owner's last change.
	changeNumber uint64
	// requestInFlight is set while shares are requested from the other shards.
	requestInFlight atomic.Bool
}

type shareRequest struct {
	Shard string `msgpack:"Shard"`
	// To is the index of the requesting shard.
	To   int    `msgpack:"To"`
	Team string `msgpack:"Team"`
	// Wanted is the missing share in units of pool.WholeLimit.
	Wanted int `msgpack:"Wanted"`
	// ReleaseTimeMS is the release time of the step that needs the share, in Unix milliseconds.
	ReleaseTimeMS int64 `msgpack:"SinceMS"`
}

type shareReply struct {
	// Granted is the transferred share in units of pool.WholeLimit.
	Granted int       `msgpack:"Given"`
	Shares  sharesRow `msgpack:"Split"`
	Version uint64    `msgpack:"Version"`
}

func (r *sharesRow) valid(shards int) bool {
	if len(r.Epochs) != shards || len(r.ChangeNumbers) != shards {
		return false
	}
	for _, shares := range r.Teams {
		if len(shares) != shards {
			return false
		}
	}
	return true
}

// teamShares returns a copy of the shares of a team.
func (r *sharesRow) teamShares(team string) []int {
	shares := make([]int, len(r.Epochs))
	for i := range shares {
		if stored, ok := r.Teams[team]; ok {
			shares[i] = stored[i]
		} else {
			shares[i] = pool.EqualShare(i, len(shares))
		}
	}
	return shares
}

// shardShares returns the shares of a shard.
func (r *sharesRow) shardShares(shard int) map[cluster.TeamName]int {
	own := map[cluster.TeamName]int{}
	for team, shares := range r.Teams {
		own[cluster.TeamName(team)] = shares[shard]
	}
	return own
}

// clone returns a deep copy.
func (r *sharesRow) clone() sharesRow {
	c := sharesRow{Epochs: append([]uint64(nil), r.Epochs...), ChangeNumbers: append([]uint64(nil), r.ChangeNumbers...), Teams: map[string][]int{}}
	for team, shares := range r.Teams {
		c.Teams[team] = append([]int(nil), shares...)
	}
	return c
}

// readShares reads the row. All shares are equal if there is none.
func (o *ownedShard) readShares(ctx context.Context) (sharesRow, cluster.Version, error) {
	shards := o.d.shardCount()
	equal := sharesRow{Epochs: make([]uint64, shards), ChangeNumbers: make([]uint64, shards)}
	reply, err := o.d.store.Read(ctx, platform.ReadRequest{Keys: []string{sharesKey(o.id.Service)}})
	if err != nil || len(reply.Rows) == 0 {
		return equal, 0, err
	}
	row, err := decode[sharesRow]("read shares", reply.Rows[0].Value)
	if err != nil {
		return equal, 0, err
	}
	if !row.valid(shards) {
		return equal, 0, &Error{Op: "read shares", Kind: KindMalformed}
	}
	return row, reply.Rows[0].Version, nil
}

// commitShares retries a change of the row until it is known to be in the store. The caller holds shares.mu or loads
// the shard. change may be applied to several versions of the row. commitShares fails if the ownership has ended, and
// with an unchanged row in the store if the new one can't be encoded or is refused.
func (o *ownedShard) commitShares(change func(*sharesRow)) error {
	s := &o.shares
	s.changeNumber++
	for o.ctx.Err() == nil {
		if s.row.Epochs[o.id.Index] > uint64(o.epoch) {
			o.endOwnership("the shares row names a later owner")
			break
		}
		next := s.row.clone()
		next.Epochs[o.id.Index], next.ChangeNumbers[o.id.Index] = uint64(o.epoch), s.changeNumber
		change(&next)
		data, err := encode("split", &next)
		if err != nil {
			return err
		}
		key := sharesKey(o.id.Service)
		version, commitErr := o.d.store.Commit(o.ctx, platform.Txn{
			Checks: []platform.Check{{Key: key, Version: s.version}}, Puts: []platform.Put{{Key: key, Value: data}},
		})
		if commitErr == nil {
			s.row, s.version = next, version
			return nil
		}
		if platform.IsKind(commitErr, platform.KindInvalid) {
			// An attempt before this one whose reply was lost had the same row or was for an earlier version.
			return &Error{Op: "split", Kind: KindMalformed, Err: commitErr}
		}
		o.d.cfg.Log.Info().Err(commitErr).Stringer("shard", o.id).Uint64("loan", s.changeNumber).Msg("cell: shares row not written; reading it again")
		row, version, err := o.readShares(o.ctx)
		if err != nil {
			o.sleep(retryDelay)
			continue
		}
		s.row, s.version = row, version
		if row.Epochs[o.id.Index] == uint64(o.epoch) && row.ChangeNumbers[o.id.Index] == s.changeNumber {
			return nil
		}
		if !platform.IsKind(commitErr, platform.KindConflict) {
			o.sleep(retryDelay)
		}
	}
	return &Error{Op: "split", Kind: KindUnknown, Err: errNotOwner}
}

// claimShares writes the epoch of this owner into the row and returns the shares of its shard. It is called while
// the shard is loaded.
func (o *ownedShard) claimShares() (map[cluster.TeamName]int, error) {
	if o.d.shardCount() == 1 {
		return nil, nil
	}
	var err error
	if o.shares.row, o.shares.version, err = o.readShares(o.ctx); err != nil {
		return nil, err
	}
	if err = o.commitShares(func(*sharesRow) {}); err != nil {
		return nil, err
	}
	return o.shares.row.shardShares(o.id.Index), nil
}

// transferShare transfers a part of this shard's share of a team's limit to another shard. It fails if another
// change is in progress instead of waiting for it, as the caller may time out before that ends. Once the share is
// reduced, the change is written even if ctx ends.
func (o *ownedShard) transferShare(ctx context.Context, r shareRequest) (shareReply, error) {
	if !o.shares.mu.TryLock() {
		return shareReply{}, &Error{Op: "lend", Kind: KindOverloaded}
	}
	defer o.shares.mu.Unlock()
	if r.To < 0 || r.To >= o.d.shardCount() || r.To == o.id.Index {
		return shareReply{}, &Error{Op: "lend", Kind: KindMalformed}
	}
	granted := 0
	err := o.query(ctx, "lend", func(s *pool.Scheduler) {
		granted = s.ReduceShare(cluster.TeamName(r.Team), r.Wanted, time.UnixMilli(r.ReleaseTimeMS))
	})
	if err != nil {
		return shareReply{}, err
	}
	if granted > 0 {
		err = o.commitShares(func(row *sharesRow) {
			shares := row.teamShares(r.Team)
			shares[o.id.Index] -= granted
			shares[r.To] += granted
			row.Teams[r.Team] = shares
		})
		// If there was no transfer, this restores the share.
		o.setShares()
		if err != nil {
			o.d.cfg.Log.Warn().Err(err).Stringer("shard", o.id).Int("to", r.To).Str("team", r.Team).Msg("cell: share of a limit not transferred")
			return shareReply{}, err
		}
		o.d.cfg.Log.Info().Stringer("shard", o.id).Int("to", r.To).Str("team", r.Team).Int("wanted", r.Wanted).Int("given", granted).Msg("cell: share of a limit transferred")
	}
	return shareReply{Granted: granted, Shares: o.shares.row, Version: uint64(o.shares.version)}, nil
}

// applyShares applies a newer version of the row.
func (o *ownedShard) applyShares(row sharesRow, version cluster.Version) {
	o.shares.mu.Lock()
	defer o.shares.mu.Unlock()
	if version <= o.shares.version || !row.valid(o.d.shardCount()) {
		return
	}
	o.shares.row, o.shares.version = row, version
	o.setShares()
}

// setShares passes the shares to the scheduler and waits until they are in force, as an event might be handled only
// after the next reduction and undo it. The caller holds shares.mu, which neither the load nor the control loop takes.
func (o *ownedShard) setShares() {
	shares := o.shares.row.shardShares(o.id.Index)
	// This fails only if the ownership has ended.
	_ = o.query(o.ctx, "set shares", func(s *pool.Scheduler) { s.SetShares(shares) })
}

// requestShare requests a larger share of a team's limit from the owners of the other shards, one after
// another.
func (o *ownedShard) requestShare(e *pool.RequestShare) {
	if !o.shares.requestInFlight.CompareAndSwap(false, true) {
		return
	}
	defer o.shares.requestInFlight.Store(false)
	shards := o.d.shardCount()
	missing := e.Missing
	first := rand.IntN(shards)
	for i := range shards {
		from := shardID{Service: o.id.Service, Index: (first + i) % shards}
		if from == o.id || missing <= 0 || o.ctx.Err() != nil {
			continue
		}
		reply, err := o.requestShareFrom(from, shareRequest{
			Shard: from.String(), To: o.id.Index, Team: string(e.Team), Wanted: missing, ReleaseTimeMS: e.ReleaseTime.UnixMilli(),
		})
		if err != nil {
			o.d.cfg.Log.Debug().Err(err).Stringer("shard", o.id).Stringer("from", from).Msg("cell: no share of a limit received")
			continue
		}
		missing -= reply.Granted
		o.applyShares(reply.Shares, cluster.Version(reply.Version))
	}
}

func (o *ownedShard) requestShareFrom(from shardID, r shareRequest) (shareReply, error) {
	owner, ok := o.d.shardOwner(from)
	if !ok {
		return shareReply{}, &Error{Op: "lend", Kind: KindUnavailable, Err: errNotOwner}
	}
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	if owner == o.d.cfg.Self {
		return o.d.transferOwnedShare(ctx, r)
	}
	return call[shareReply](ctx, o.d, owner, methodTransferShare, &r)
}

func (d *Daemon) transferOwnedShare(ctx context.Context, r shareRequest) (shareReply, error) {
	owned := d.lookupShard(parseShardID(r.Shard))
	if owned == nil {
		return shareReply{}, &Error{Op: "lend", Kind: KindUnavailable, Err: errNotOwner}
	}
	return owned.transferShare(ctx, r)
}
