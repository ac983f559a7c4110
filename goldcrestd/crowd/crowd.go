package crowd

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// sendTimeout ends the sending of a crowd whose connections the process neither reads nor closes.
	sendTimeout = 15 * time.Second
	// dwell is how long a crowd stays after it has sent everything.
	dwell = time.Second
	// pieceDelay is the time between two pieces of a body.
	pieceDelay = 2 * time.Millisecond
)

// Case is a number of connections that all do the same, as read from a data file.
type Case struct {
	Group string `json:"group"`
	Name  string `json:"name"`
	// Listener names an address of the Target.
	Listener string `json:"listener"`
	// Kind is what a connection sends: silent, headerPart, body, requests or frame.
	Kind        string `json:"kind"`
	Connections int    `json:"connections"`
	// CompleteEvery is the interval of the connections that send their body to the end; zero means none does.
	CompleteEvery int `json:"completeEvery"`
	BodyBytes     int `json:"bodyBytes"`
	// SentBytes is how much of the body is sent; absent means all but the last byte.
	SentBytes *int `json:"sentBytes"`
	// PieceBytes is the size of one write; zero means one write. ChunkBytes is the size of a chunk; zero means a body
	// with a Content-Length.
	PieceBytes  int    `json:"pieceBytes"`
	ChunkBytes  int    `json:"chunkBytes"`
	HeaderBytes int    `json:"headerBytes"`
	Requests    int    `json:"requests"`
	UnknownKey  bool   `json:"unknownKey"`
	Content     string `json:"content"`
	// Path replaces the path of the Target.
	Path string `json:"path"`
	// StoreUnavailable makes the store refuse all calls while the crowd sends.
	StoreUnavailable bool `json:"storeUnavailable"`
	// Parts are crowds that come at once; a case with parts has no connections of its own.
	Parts []Case `json:"parts"`
}

// Target is what a crowd sends its requests to.
type Target struct {
	// Addrs holds the address of each listener by its name.
	Addrs map[string]string
	Host  string
	// Key is the bearer token of the requests.
	Key string
	// Path returns the path of the request of a connection.
	Path func(connection int) string
	// Content returns the body of a case, which has BodyBytes.
	Content func(c *Case) []byte
}

// Load reads the cases of a group from a file.
func Load(path, group string) ([]Case, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var all, cases []Case
	if err := json.Unmarshal(data, &all); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, c := range all {
		if c.Group == group {
			cases = append(cases, c)
		}
	}
	return cases, nil
}

// Fill returns a JSON body of exactly size bytes from its begin, the repeated unit and its end.
func Fill(begin, unit, end string, size int) []byte {
	body := begin + strings.Repeat(unit, (size-len(begin)-len(end))/len(unit)) + end
	return []byte(body + strings.Repeat(" ", size-len(body)))
}

// payload returns what one connection sends.
func (c *Case) payload(t *Target, connection int) []byte {
	key, path := t.Key, c.Path
	if c.UnknownKey {
		key = "unknown"
	}
	if path == "" {
		path = t.Path(connection)
	}
	header := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n", path, t.Host, key)
	switch c.Kind {
	case "headerPart":
		return append([]byte(header+"X-Filler: "), bytes.Repeat([]byte("x"), c.HeaderBytes-len(header))...)
	case "requests":
		return []byte(strings.Repeat("GET /metrics HTTP/1.1\r\nHost: "+t.Host+"\r\n\r\n", c.Requests))
	case "frame":
		return append(binary.BigEndian.AppendUint32(nil, uint32(c.BodyBytes)), make([]byte, c.BodyBytes-1)...)
	case "body":
		return append([]byte(header), c.framedBody(t.Content(c), connection)...)
	}
	return nil
}

// framedBody returns the rest of the header of a request and as much of its body as the connection sends.
func (c *Case) framedBody(content []byte, connection int) []byte {
	var framed bytes.Buffer
	if c.ChunkBytes == 0 {
		fmt.Fprintf(&framed, "Content-Length: %d\r\n\r\n", len(content))
	} else {
		framed.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	}
	start := framed.Len()
	if c.ChunkBytes == 0 {
		framed.Write(content)
	}
	for c.ChunkBytes > 0 && len(content) > 0 {
		n := min(c.ChunkBytes, len(content))
		fmt.Fprintf(&framed, "%x\r\n%s\r\n", n, content[:n])
		content = content[n:]
	}
	data := framed.Bytes()
	switch {
	case c.CompleteEvery > 0 && connection%c.CompleteEvery == 0:
		if c.ChunkBytes > 0 {
			data = append(data, "0\r\n\r\n"...)
		}
	case c.SentBytes != nil:
		data = data[:start+*c.SentBytes]
	case c.ChunkBytes > 0:
		// The last byte of the last chunk is followed by its line end.
		data = data[:len(data)-3]
	default:
		data = data[:len(data)-1]
	}
	return data
}

// Run opens the connections of the crowd or of its parts and sends on them until all is sent or sendTimeout ends. The
// connections stay open until the returned function is called.
func (c *Case) Run(t *Target) (leave func()) {
	parts := c.Parts
	if len(parts) == 0 {
		parts = []Case{*c}
	}
	leaves := make([]func(), len(parts))
	var wg sync.WaitGroup
	for i := range parts {
		wg.Go(func() { leaves[i] = parts[i].send(t) })
	}
	wg.Wait()
	time.Sleep(dwell)
	return func() {
		for _, leave := range leaves {
			leave()
		}
	}
}

// send is Run for one part.
func (c *Case) send(t *Target) (leave func()) {
	end := time.Now().Add(sendTimeout)
	conns := make([]net.Conn, c.Connections)
	var wg sync.WaitGroup
	for i := range conns {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", t.Addrs[c.Listener], time.Until(end))
			if err != nil {
				return
			}
			conns[i] = conn
			// An error of a write means that the process has closed the connection, which it may do.
			_ = conn.SetWriteDeadline(end)
			payload := c.payload(t, i)
			piece := len(payload)
			if c.PieceBytes > 0 {
				piece = c.PieceBytes
			}
			for len(payload) > 0 {
				n := min(piece, len(payload))
				if _, err := conn.Write(payload[:n]); err != nil {
					return
				}
				if payload = payload[n:]; len(payload) > 0 {
					time.Sleep(pieceDelay)
				}
			}
		})
	}
	wg.Wait()
	return func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
}
