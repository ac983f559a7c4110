package member

import (
	"net/netip"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/record"
)

// Key prefixes of the rows that the package reads.
const (
	// Prefix is the key prefix of member rows.
	Prefix = "member/"
	// writerRowPrefix is the key prefix of the writer rows, in which journals record their last transaction.
	writerRowPrefix = "txn/"
)

// Key returns the key of the row of a member.
func Key(id cluster.DaemonID) string { return Prefix + string(id) }

// Writer returns the writer name for a journal of a daemon. The writer rows of
// such journals are deleted together with the daemon's member row.
func Writer(id cluster.DaemonID, purpose string) string { return string(id) + "/" + purpose }

// writerRowDaemon returns the daemon whose journal wrote a writer row.
func writerRowDaemon(key string) cluster.DaemonID {
	id, _, _ := strings.Cut(strings.TrimPrefix(key, writerRowPrefix), "/")
	return cluster.DaemonID(id)
}

// memberRecord is the stored form of a Member.
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

// DecodeRow decodes a row under Prefix.
func DecodeRow(row platform.Row) (Member, error) {
	var encoded memberRecord
	malformed := func(err error) (Member, error) {
		return Member{}, &Error{Op: "decode " + row.Key, Kind: KindMalformed, Err: err}
	}
	if err := record.Unmarshal(row.Value, &encoded); err != nil {
		return malformed(err)
	}
	peerAddr, err := parseAddr(encoded.PeerAddr)
	if err != nil {
		return malformed(err)
	}
	httpAddr, err := parseAddr(encoded.HTTPAddr)
	if err != nil {
		return malformed(err)
	}
	return Member{
		ID:       cluster.DaemonID(strings.TrimPrefix(row.Key, Prefix)),
		Place:    cluster.Place{Region: cluster.Region(encoded.Region), Zone: cluster.Zone(encoded.Zone)},
		PeerAddr: peerAddr, HTTPAddr: httpAddr, VM: encoded.VM, Version: row.Version,
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
