package cell

import (
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// announcement tells the owner of a shard of rows that were just written. The
// feed of the store brings them as well, but later while the store is slow, the
// owner is cut off from it or its history is gone.
type announcement struct {
	Shard  string   `msgpack:"Shard"`
	Keys   []string `msgpack:"Keys"`
	Values [][]byte `msgpack:"Values"`
}

// announce sends the owner of a shard the rows of jobs and cancellations that are in the store.
func (d *Daemon) announce(id shardID, puts []platform.Put) {
	owner, ok := d.owner(id)
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
		d.cfg.Log.Error().Err(err).Msg("cell: rows can't be announced")
		return
	}
	if !d.transport.Send(owner, &peer.Call{ID: noAnswer, Method: methodAnnounce, Body: body}) {
		d.cfg.Log.Debug().Str("peer", string(owner)).Int("rows", len(puts)).Msg("cell: announcement dropped")
	}
}

// receiveAnnouncement hands announced rows to the pool if this daemon owns it.
func (d *Daemon) receiveAnnouncement(a announcement) {
	p := d.pool(parseShard(a.Shard))
	if p == nil || len(a.Keys) != len(a.Values) {
		return
	}
	rows := make([]platform.Row, 0, len(a.Keys))
	for i, key := range a.Keys {
		rows = append(rows, platform.Row{Key: key, Value: a.Values[i]})
	}
	for _, e := range p.jobEvents(rows, nil) {
		p.send(e)
	}
}
