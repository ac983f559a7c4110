package note

import (
	"fmt"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/record"
)

// Keys of the configuration rows.
const (
	// HeadKey is the row with the version of the last accepted note.
	HeadKey = "config/head"
	// EntityPrefix is the prefix of the rows of entities.
	EntityPrefix  = "config/entity/"
	notePrefix    = "config/note/"
	requestPrefix = "config/request/"
)

// EntityKey returns the key of an entity's row.
func EntityKey(id cluster.EntityID) string { return EntityPrefix + id.String() }

// noteKey returns the key of a note's row; the digits keep the rows in order.
func noteKey(v cluster.Version) string { return fmt.Sprintf("%s%012d", notePrefix, v) }

func requestKey(id string) string { return requestPrefix + id }

// ParseEntityKey returns the entity of a row's key, or false for another row.
func ParseEntityKey(key string) (cluster.EntityID, bool) {
	rest, ok := strings.CutPrefix(key, EntityPrefix)
	if !ok {
		return cluster.EntityID{}, false
	}
	kind, name, ok := strings.Cut(rest, "/")
	return cluster.EntityID{Kind: cluster.EntityKind(kind), Name: name}, ok
}

type headRecord struct {
	Version uint64 `msgpack:"version"`
	Time    int64  `msgpack:"time"`
}

type entityRecord struct {
	Note  uint64 `msgpack:"note"`
	Value []byte `msgpack:"value"`
}

type noteRecord struct {
	ID       string   `msgpack:"id"`
	Author   string   `msgpack:"author"`
	Summary  string   `msgpack:"summary"`
	Time     int64    `msgpack:"time"`
	Digest   []byte   `msgpack:"digest"`
	Entities []string `msgpack:"entities"`
}

type requestRecord struct {
	Version uint64 `msgpack:"version"`
	Digest  []byte `msgpack:"digest"`
}

func encodeRecord(v any) []byte {
	data, err := msgpack.Marshal(v)
	if err != nil {
		// The records hold only numbers, strings and bytes, which always encode.
		panic(err)
	}
	return data
}

func decodeRecord(row platform.Row, v any) error {
	if err := msgpack.Unmarshal(row.Value, v); err != nil {
		return &Error{Op: "decode " + row.Key, Kind: KindMalformed, Err: err}
	}
	return nil
}

// Head is the last accepted note.
type Head struct {
	Version cluster.Version
	// Time is when the note was accepted, on the clock of the daemon that accepted it.
	Time time.Time
}

// DecodeHead returns the last accepted note.
func DecodeHead(row platform.Row) (Head, error) {
	var r headRecord
	err := decodeRecord(row, &r)
	return Head{Version: cluster.Version(r.Version), Time: time.Unix(0, r.Time).UTC()}, err
}

// EncodeHead returns the value of the head row.
func EncodeHead(h Head) []byte {
	return encodeRecord(headRecord{Version: uint64(h.Version), Time: h.Time.UnixNano()})
}

// DecodeEntity returns the entity of a row and the note that wrote it.
func DecodeEntity(row platform.Row) (cluster.Entity, cluster.Version, error) {
	id, ok := ParseEntityKey(row.Key)
	if !ok {
		return nil, 0, &Error{Op: "decode " + row.Key, Kind: KindMalformed}
	}
	var r entityRecord
	if err := decodeRecord(row, &r); err != nil {
		return nil, 0, err
	}
	e, err := record.DecodeEntity(id.Kind, r.Value)
	if err != nil {
		return nil, 0, &Error{Op: "decode " + row.Key, Kind: KindMalformed, Err: err}
	}
	return e, cluster.Version(r.Note), nil
}

func encodeEntity(e cluster.Entity, version cluster.Version) ([]byte, error) {
	value, err := record.EncodeEntity(e)
	if err != nil {
		return nil, &Error{Op: "encode " + cluster.Identify(e).String(), Kind: KindMalformed, Err: err}
	}
	return encodeRecord(entityRecord{Note: uint64(version), Value: value}), nil
}

func decodeNote(row platform.Row) (Record, error) {
	var r noteRecord
	if err := decodeRecord(row, &r); err != nil {
		return Record{}, err
	}
	if len(r.Digest) != 32 {
		return Record{}, &Error{Op: "decode " + row.Key, Kind: KindMalformed, Err: fmt.Errorf("digest of %d bytes", len(r.Digest))}
	}
	out := Record{ID: r.ID, Author: r.Author, Summary: r.Summary, Time: time.Unix(0, r.Time).UTC(), Digest: [32]byte(r.Digest)}
	for _, s := range r.Entities {
		kind, name, _ := strings.Cut(s, "/")
		out.Entities = append(out.Entities, cluster.EntityID{Kind: cluster.EntityKind(kind), Name: name})
	}
	_, err := fmt.Sscanf(strings.TrimPrefix(row.Key, notePrefix), "%d", &out.Version)
	if err != nil {
		return Record{}, &Error{Op: "decode " + row.Key, Kind: KindMalformed, Err: err}
	}
	return out, nil
}
