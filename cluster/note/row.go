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
	// HeadKey is the key of the row that holds the version of the last accepted note.
	HeadKey = "config/head"
	// EntityPrefix is the key prefix of the entity rows.
	EntityPrefix  = "config/entity/"
	notePrefix    = "config/note/"
	requestPrefix = "config/request/"
)

// EntityKey returns the key of an entity's row.
func EntityKey(id cluster.EntityID) string { return EntityPrefix + id.String() }

// noteKey returns the key of a note's row. The version is padded with zeros, so
// that keys sort by version.
func noteKey(v cluster.Version) string { return fmt.Sprintf("%s%012d", notePrefix, v) }

// requestKey returns the key of the row that stores the outcome of a request.
func requestKey(id string) string { return requestPrefix + id }

// ParseEntityKey returns the identifier in the key of an entity row, or false if
// the key is of another row.
func ParseEntityKey(key string) (cluster.EntityID, bool) {
	kindAndName, ok := strings.CutPrefix(key, EntityPrefix)
	if !ok {
		return cluster.EntityID{}, false
	}
	kind, name, ok := strings.Cut(kindAndName, "/")
	return cluster.EntityID{Kind: cluster.EntityKind(kind), Name: name}, ok
}

// The record types are the msgpack values of the configuration rows. The names in
// their tags are stored and must not change; times are in nanoseconds since the
// Unix epoch, digests are the SHA-256 of a note's text.

// headRecord is the value of the row HeadKey.
type headRecord struct {
	Version uint64 `msgpack:"version"`
	Time    int64  `msgpack:"time"`
}

// entityRecord is the value of an entity row.
type entityRecord struct {
	// Note is the version of the note that wrote the row.
	Note uint64 `msgpack:"note"`
	// Value is the entity as encoded by package record.
	Value []byte `msgpack:"value"`
}

// noteRecord is the value of a note row; the version of the note is in the key.
type noteRecord struct {
	// ID identifies the request that the note was accepted with.
	ID       string   `msgpack:"id"`
	Author   string   `msgpack:"author"`
	Summary  string   `msgpack:"summary"`
	Time     int64    `msgpack:"time"`
	Digest   []byte   `msgpack:"digest"`
	Entities []string `msgpack:"entities"`
}

// requestRecord is the value of a request row.
type requestRecord struct {
	// Version is the version of the note that was accepted with the request.
	Version uint64 `msgpack:"version"`
	Digest  []byte `msgpack:"digest"`
}

func encodeRecord(v any) []byte {
	data, err := msgpack.Marshal(v)
	if err != nil {
		// Encoding cannot fail: records contain only numbers, strings, bytes and
		// lists of strings.
		panic(err)
	}
	return data
}

func decodeRecord(row platform.Row, v any) error {
	if err := record.Unmarshal(row.Value, v); err != nil {
		return &Error{Op: "decode " + row.Key, Kind: KindMalformed, Err: err}
	}
	return nil
}

// Head identifies the last accepted note.
type Head struct {
	Version cluster.Version
	// Time is when the note was accepted, on the clock of the daemon that accepted it.
	Time time.Time
}

// DecodeHead decodes the head row.
func DecodeHead(row platform.Row) (Head, error) {
	var r headRecord
	err := decodeRecord(row, &r)
	return Head{Version: cluster.Version(r.Version), Time: time.Unix(0, r.Time).UTC()}, err
}

// EncodeHead returns the encoded value of the head row.
func EncodeHead(h Head) []byte {
	return encodeRecord(headRecord{Version: uint64(h.Version), Time: h.Time.UnixNano()})
}

// DecodeEntity returns the entity in a row and the version of the note that
// wrote it last.
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

// encodeEntity returns the value of the row of an entity that the note with the
// given version writes.
func encodeEntity(e cluster.Entity, version cluster.Version) ([]byte, error) {
	value, err := record.EncodeEntity(e)
	if err != nil {
		return nil, &Error{Op: "encode " + cluster.Identify(e).String(), Kind: KindMalformed, Err: err}
	}
	return encodeRecord(entityRecord{Note: uint64(version), Value: value}), nil
}

// decodeHistoryEntry decodes a note row.
func decodeHistoryEntry(row platform.Row) (HistoryEntry, error) {
	var r noteRecord
	if err := decodeRecord(row, &r); err != nil {
		return HistoryEntry{}, err
	}
	if len(r.Digest) != 32 {
		return HistoryEntry{}, &Error{Op: "decode " + row.Key, Kind: KindMalformed, Err: fmt.Errorf("digest of %d bytes", len(r.Digest))}
	}
	entry := HistoryEntry{ID: r.ID, Author: r.Author, Summary: r.Summary, Time: time.Unix(0, r.Time).UTC(), Digest: [32]byte(r.Digest)}
	for _, s := range r.Entities {
		kind, name, _ := strings.Cut(s, "/")
		entry.Entities = append(entry.Entities, cluster.EntityID{Kind: cluster.EntityKind(kind), Name: name})
	}
	_, err := fmt.Sscanf(strings.TrimPrefix(row.Key, notePrefix), "%d", &entry.Version)
	if err != nil {
		return HistoryEntry{}, &Error{Op: "decode " + row.Key, Kind: KindMalformed, Err: err}
	}
	return entry, nil
}
