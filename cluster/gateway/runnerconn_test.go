package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// connCase is what a runner writes after a request, and later without a request.
type connCase struct {
	Name, Answer, Later string
	// Settles means that the connection is reusable after the response, Begins that it still is after
	// the later bytes.
	Settles, Begins bool
}

// Guards against a surplus or unsolicited response that is read as the response to the next
// request on the connection.
func TestConnectionReuse(t *testing.T) {
	for _, tc := range loadTestCases[connCase](t, "links.json") {
		t.Run(tc.Name, func(t *testing.T) { synctest.Test(t, tc.check) })
	}
}

func (tc *connCase) check(t *testing.T) {
	is := is.New(t)
	clientConn, serverConn := net.Pipe()
	defer serverConn.Close()
	g := &Gateway{transport: newTransport(), cfg: Config{
		Dial: func(context.Context, netip.AddrPort) (net.Conn, error) { return clientConn, nil },
	}}
	go func() {
		_, _ = serverConn.Read(make([]byte, 4096))
		_, _ = io.WriteString(serverConn, tc.Answer)
		time.Sleep(time.Second)
		_, _ = io.WriteString(serverConn, tc.Later)
	}()
	conn, err := g.dial(t.Context(), netip.MustParseAddrPort("127.0.0.1:80"), func(int) {})
	is.NoErr(err)
	defer conn.close()
	is.NoErr(conn.tracked.beginRequest())
	req, err := http.NewRequest(http.MethodGet, "http://127.0.0.1/", nil)
	is.NoErr(err)
	resp, err := conn.client.RoundTrip(req)
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(conn.tracked.waitIdle(), tc.Settles)
	time.Sleep(2 * time.Second)
	is.Equal(conn.usable() && conn.tracked.beginRequest() == nil, tc.Begins)
	if !tc.Begins {
		_, err = conn.tracked.Write([]byte("x"))
		is.True(err != nil)
	}
}
