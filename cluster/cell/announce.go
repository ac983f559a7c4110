package cell

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// announcement carries rows that were just written to the owner of their shard. The owner's change feed
// delivers them as well, but later if the store is slow, if the owner can't reach the store, or if the feed has
// to be read from the beginning.
type announcement struct {
	Shard  string   `msgpack:"Shard"`
	Keys   []string `msgpack:"Keys"`
	Values [][]byte `msgpack:"Values"`
}

// announce sends committed rows of jobs and cancellations to the owner of their shard.
func (d *Daemon) announce(id shardID, puts []platform.Put) {
	owner, ok := d.shardOwner(id)
	if !ok || len(puts) == 0 {
		return
	}
	a := announcement{Shard: id.String()}
	for _, p := range puts {
		a.Keys = append(a.Keys, p.Key)
		a.Values = append(a.Values, p.Value)
	}
	if owner == d.cfg.Self {
		d.receiveAnnouncement(a)
		return
	}
	body, err := encode("announce", &a)
	if err != nil {
		d.cfg.Log.Error().Err(err).Msg("cell: announcement can't be encoded")
		return
	}
	if !d.transport.Send(owner, &peer.Call{ID: noReplyID, Method: methodAnnounce, Body: body}) {
		d.cfg.Log.Debug().Str("peer", string(owner)).Int("rows", len(puts)).Msg("cell: announcement not sent")
	}
}

// claimAnnouncement tells the previous owner of a shard that the sender has claimed it.
type claimAnnouncement struct {
	Shard string `msgpack:"Shard"`
	Epoch uint64 `msgpack:"Epoch"`
}

// announceClaim tells the previous owner of a shard, if it is connected, that this daemon has claimed the shard. Pings
// that this daemon sends after the claim arrive after the announcement, as they use the same connection.
func (d *Daemon) announceClaim(id shardID, previous cluster.DaemonID, epoch uint64) {
	body, err := encode("announce claim", &claimAnnouncement{Shard: id.String(), Epoch: epoch})
	if err != nil {
		d.cfg.Log.Error().Err(err).Msg("cell: claim can't be announced")
		return
	}
	if !d.transport.Send(previous, &peer.Call{ID: noReplyID, Method: methodAnnounceClaim, Body: body}) {
		d.cfg.Log.Debug().Str("peer", string(previous)).Msg("cell: claim not announced to the previous owner")
	}
}

// receiveClaim ends the ownership of a shard that another daemon has claimed.
func (d *Daemon) receiveClaim(from cluster.DaemonID, a claimAnnouncement) {
	owned := d.lookupShard(parseShardID(a.Shard))
	if owned != nil && a.Epoch > uint64(owned.epoch) {
		owned.endOwnership("claimed by " + string(from))
	}
}

// receiveAnnouncement passes announced rows to the scheduler if this daemon owns the shard. It does not wait for the
// control loop: rows that don't fit in its queue come with the change feed.
func (d *Daemon) receiveAnnouncement(a announcement) {
	owned := d.lookupShard(parseShardID(a.Shard))
	if owned == nil || len(a.Keys) != len(a.Values) {
		return
	}
	rows := make([]platform.Row, 0, len(a.Keys))
	for i, key := range a.Keys {
		rows = append(rows, platform.Row{Key: key, Value: a.Values[i]})
	}
	dropped := 0
	for _, row := range rows {
		for _, e := range owned.decodeJobs(platform.ReadReply{Rows: []platform.Row{row}}, nil).events() {
			select {
			case owned.events <- e:
				owned.announced.add(row.Key, time.Now())
			default:
				dropped++
			}
		}
	}
	if dropped > 0 {
		d.cfg.Log.Debug().Stringer("shard", owned.id).Int("rows", dropped).Msg("cell: event queue is full; announced rows dropped")
	}
}
