package cell

import (
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// maxSweptRows bounds the rows that a transaction of a sweep deletes; each has two entries, and a transaction may have 100.
const maxSweptRows = 40

// sweepMembers deletes the rows of members that are gone while this daemon owns the first shard, as all members connect to
// the owners. No daemon takes a missing row as proof that a process has stopped: the claim of a shard follows from the
// silence of its owner or from the row of a later process of the VM. The row of an owner stays, as other daemons find its
// address in it. A member that returns after its row was deleted writes it again.
func (d *Daemon) sweepMembers() {
	sweep := memberSweep{missed: map[platform.Check]int{}}
	for d.sleep(memberSweepInterval) {
		d.forgetSilent(time.Now())
		if !d.ownsFirstShard() {
			clear(sweep.missed)
			continue
		}
		reply, err := d.store.readWithin(d.ctx, platform.ReadRequest{Prefixes: []string{cellTable, membersTable}}, storeTimeout)
		if err != nil {
			d.cfg.Log.Info().Err(err).Msg("cell: members can't be read for a sweep; retrying later")
			continue
		}
		for _, txn := range sweep.deletions(reply.Rows, d.isPresent) {
			if _, err := d.store.Commit(d.ctx, txn); err != nil {
				d.cfg.Log.Info().Err(err).Int("rows", len(txn.Deletes)).Msg("cell: rows of members that are gone not deleted; retrying later")
				continue
			}
			d.cfg.Metrics.Counter("member_rows_deleted_total").Inc(int64(len(txn.Deletes)))
			d.cfg.Log.Info().Strs("rows", txn.Deletes).Msg("cell: rows of members that are gone deleted")
		}
	}
}

// ownsFirstShard reports whether this daemon owns the first shard of the cell.
func (d *Daemon) ownsFirstShard() bool {
	shards := d.allShards()
	return len(shards) > 0 && d.lookupShard(shards[0]) != nil
}

// isPresent reports whether a member has been heard since the last sweep, is this daemon or is named as the owner of a
// shard.
func (d *Daemon) isPresent(vm string, row memberRow) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if vm == d.cfg.VM || time.Since(d.transport.LastSeen(d.presentID(vm, row))) < memberSweepInterval {
		return true
	}
	for _, o := range d.owners {
		if ownerVM, _, _ := strings.Cut(o.row.Owner, daemonSeparator); ownerVM == vm {
			return true
		}
	}
	return false
}

// memberSweep finds the rows of members that are gone.
type memberSweep struct {
	// missed holds the number of successive sweeps in which the member with a row was absent, by the key and the version of
	// the row.
	missed map[platform.Check]int
}

// deletions returns the transactions that delete the rows of the members that were absent in maxMissedSweeps successive
// sweeps, at most one for each part of the store. A row that was written again since the read stays.
func (s *memberSweep) deletions(rows []platform.Row, isPresent func(vm string, row memberRow) bool) map[string]platform.Txn {
	missed := map[platform.Check]int{}
	txns := map[string]platform.Txn{}
	for _, r := range rows {
		name := rowName(r.Key)
		vm, ok := strings.CutPrefix(name, memberPrefix)
		if !ok || r.Deleted {
			continue
		}
		// A row that can't be read names no daemon; it is only deleted if nothing of the VM is heard.
		row, err := decodeMember(r)
		if err != nil {
			row = memberRow{}
		}
		check := platform.Check{Key: r.Key, Version: r.Version}
		if isPresent(vm, row) {
			continue
		}
		missed[check] = s.missed[check] + 1
		part := strings.TrimSuffix(r.Key, name)
		_, part, _ = strings.Cut(part, "/")
		if txn := txns[part]; missed[check] >= maxMissedSweeps && len(txn.Deletes) < maxSweptRows {
			txn.Checks = append(txn.Checks, check)
			txn.Deletes = append(txn.Deletes, r.Key)
			txns[part] = txn
		}
	}
	s.missed = missed
	return txns
}
