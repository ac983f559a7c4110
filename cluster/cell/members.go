package cell

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// decodeMember returns the member row in a row of the cell.
func decodeMember(r platform.Row) (memberRow, error) {
	row, err := decode[memberRow]("read member", r.Value)
	row.candidate = strings.HasPrefix(r.Key, cellTable)
	return row, err
}

// mergeMembers returns the row of each VM. If a VM has a row in both tables, it is that of the later process, which is a
// candidate if both are of the same one.
func mergeMembers(rows map[string]memberRow) map[string]memberRow {
	members := make(map[string]memberRow, len(rows))
	for key, row := range rows {
		vm := strings.TrimPrefix(rowName(key), memberPrefix)
		other, ok := members[vm]
		if !ok || isLaterProcess(row.ID, other.ID) || row.ID == other.ID && row.candidate {
			members[vm] = row
		}
	}
	return members
}

// isLaterProcess reports whether a daemon is a later process of the same VM than another one.
func isLaterProcess(id, other string) bool { return processStart(id) > processStart(other) }

// processStart returns the start time in the identifier of a daemon, in Unix milliseconds; zero if there is none.
func processStart(id string) int64 {
	_, start, _ := strings.Cut(id, daemonSeparator)
	ms, err := strconv.ParseInt(start, 10, 64)
	if err != nil {
		return 0
	}
	return ms
}

// encodeSelf encodes the member row of this daemon.
func (d *Daemon) encodeSelf() ([]byte, error) {
	return encode("join", &memberRow{
		ID: string(d.cfg.Self), Addr: d.cfg.PeerAddr.String(), Region: string(d.cfg.Place.Region), Zone: string(d.cfg.Place.Zone), Cores: d.cfg.Cores,
		LinkRate: int64(d.cfg.LinkRate), ForwardsCalls: true, JobBytes: int64(d.cfg.MaxJobBytes),
	})
}

// maintainMember writes the member row of this daemon, and writes it again if it is missing later: another daemon deletes it
// if this one is cut off or suspended for long.
func (d *Daemon) maintainMember() {
	for {
		d.joinCell()
		if !d.sleep(memberCheckInterval) {
			return
		}
	}
}

// joinCell writes the member row of this daemon unless it is there.
func (d *Daemon) joinCell() { d.writeMemberUntilDone(memberKey(d.cfg.VM)) }

// writeCandidate makes this daemon a candidate, so that all daemons of a large cell read its row and connect to it.
func (d *Daemon) writeCandidate() {
	if isCandidate(d.cfg.VM) {
		return
	}
	d.writeMemberUntilDone(candidateKey(d.cfg.VM))
}

// writeMemberUntilDone writes a row of this daemon unless it is there, and retries until it is.
func (d *Daemon) writeMemberUntilDone(key string) {
	data, err := d.encodeSelf()
	if err != nil {
		d.cfg.Log.Error().Err(err).Msg("cell: member row can't be encoded")
		return
	}
	for {
		written, err := d.writeMember(key, data)
		if err == nil {
			if written {
				d.cfg.Log.Info().Str("row", key).Msg("cell: member row written")
			}
			return
		}
		d.cfg.Log.Warn().Err(err).Str("row", key).Msg("cell: member row not written; retrying")
		if !d.sleep(feedRetryDelay/2 + rand.N(feedRetryDelay)) {
			return
		}
	}
}

// writeMember writes a row of this daemon unless it is there, and returns whether it did. The write checks the version of
// the row that it replaces: one of an earlier process of the VM, which the store executes late, must not replace this one. A
// row by which an earlier process was a candidate is deleted.
func (d *Daemon) writeMember(key string, data []byte) (written bool, err error) {
	keys := []string{key}
	if other := candidateKey(d.cfg.VM); other != key {
		keys = append(keys, other)
	}
	reply, err := d.store.Read(d.ctx, platform.ReadRequest{Keys: keys})
	if err != nil {
		return false, err
	}
	txn := platform.Txn{Checks: []platform.Check{{Key: key}}, Puts: []platform.Put{{Key: key, Value: data}}}
	for _, r := range reply.Rows {
		// A row that can't be read is replaced.
		row, err := decodeMember(r)
		isEarlier := err != nil || row.ID != string(d.cfg.Self)
		switch {
		case r.Key == key && !isEarlier:
			return false, nil
		case r.Key == key:
			txn.Checks[0].Version = r.Version
		case isEarlier:
			txn.Checks = append(txn.Checks, platform.Check{Key: r.Key, Version: r.Version})
			txn.Deletes = append(txn.Deletes, r.Key)
		}
	}
	_, err = d.store.Commit(d.ctx, txn)
	return err == nil, err
}

// silentTime is how long a daemon without a member row is remembered after its last message.
const silentTime = maxMissedSweeps * memberSweepInterval

// forgetSilent drops what this daemon remembers of daemons that are no members and are silent, so that replaced VMs and
// restarted processes don't take memory for good.
func (d *Daemon) forgetSilent(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.digests {
		if vm, _, _ := strings.Cut(string(id), daemonSeparator); d.members[vm].ID != string(id) && now.Sub(d.transport.LastSeen(id)) > silentTime {
			delete(d.digests, id)
			delete(d.configRetryAt, id)
		}
	}
	for vm, id := range d.presentIDs {
		if _, ok := d.members[vm]; !ok && now.Sub(d.transport.LastSeen(id)) > silentTime {
			delete(d.presentIDs, vm)
		}
	}
	for vm, heard := range d.heard {
		if _, ok := d.members[vm]; !ok && now.Sub(heard.Until) > silentTime {
			delete(d.heard, vm)
		}
	}
}
