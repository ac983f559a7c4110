package member

import (
	"net/netip"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Prefixes of the rows that the package reads.
const (
	Prefix    = "member/"
	txnPrefix = "txn/"
)

// Key returns the key of a member's row.
func Key(id cluster.DaemonID) string { return Prefix + string(id) }

// Writer returns the name of a journal of a daemon. Rows of journals with such
// names are removed when the daemon is gone.
func Writer(id cluster.DaemonID, purpose string) string { return string(id) + "/" + purpose }

// writerOf returns the daemon that a txn row belongs to.
func writerOf(key string) cluster.DaemonID {
	id, _, _ := strings.Cut(strings.TrimPrefix(key, txnPrefix), "/")
	return cluster.DaemonID(id)
}

type memberRecord struct {
	Region   string `msgpack:"region"`
	Zone     string `msgpack:"zone"`
	PeerAddr string `msgpack:"peerAddr"`
	HTTPAddr string `msgpack:"httpAddr"`
	VM       string `msgpack:"vm,omitempty"`
}

func encodeRow(m Member) ([]byte, error) {
	data, err := msgpack.Marshal(memberRecord{
		Region: string(m.Place.Region), Zone: string(m.Place.Zone),
		PeerAddr: formatAddr(m.PeerAddr), HTTPAddr: formatAddr(m.HTTPAddr), VM: m.VM,
	})
	if err != nil {
		return nil, &Error{Op: "encode member", Kind: KindMalformed, Err: err}
	}
	return data, nil
}

// DecodeRow returns the member of a row under Prefix.
func DecodeRow(row platform.Row) (Member, error) {
	var r memberRecord
	fail := func(err error) (Member, error) {
		return Member{}, &Error{Op: "decode " + row.Key, Kind: KindMalformed, Err: err}
	}
	if err := msgpack.Unmarshal(row.Value, &r); err != nil {
		return fail(err)
	}
	peerAddr, err := parseAddr(r.PeerAddr)
	if err != nil {
		return fail(err)
	}
	httpAddr, err := parseAddr(r.HTTPAddr)
	if err != nil {
		return fail(err)
	}
	return Member{
		ID:       cluster.DaemonID(strings.TrimPrefix(row.Key, Prefix)),
		Place:    cluster.Place{Region: cluster.Region(r.Region), Zone: cluster.Zone(r.Zone)},
		PeerAddr: peerAddr, HTTPAddr: httpAddr, VM: r.VM, Version: row.Version,
	}, nil
}

func formatAddr(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

func parseAddr(s string) (netip.AddrPort, error) {
	if s == "" {
		return netip.AddrPort{}, nil
	}
	return netip.ParseAddrPort(s)
}
