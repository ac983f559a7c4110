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

// linkCase is what a runner writes after a request, and later without one.
type linkCase struct {
	Name, Answer, Later string
	// Settles says that the link may be reused after the answer, Begins that it may be after the later bytes.
	Settles, Begins bool
}

// Guards against a surplus or unasked answer that the next request on the connection takes for its own.
func TestSettleOfLinks(t *testing.T) {
	for _, tc := range loadCases[linkCase](t, "links.json") {
		t.Run(tc.Name, func(t *testing.T) { synctest.Test(t, tc.check) })
	}
}

func (tc *linkCase) check(t *testing.T) {
	is := is.New(t)
	ours, theirs := net.Pipe()
	defer theirs.Close()
	g := &Gateway{transport: newTransport(), cfg: Config{
		Dial: func(context.Context, netip.AddrPort) (net.Conn, error) { return ours, nil },
	}}
	go func() {
		_, _ = theirs.Read(make([]byte, 4096))
		_, _ = io.WriteString(theirs, tc.Answer)
		time.Sleep(time.Second)
		_, _ = io.WriteString(theirs, tc.Later)
	}()
	l, err := g.dial(t.Context(), netip.MustParseAddrPort("127.0.0.1:80"), func(int) {})
	is.NoErr(err)
	defer l.close()
	is.NoErr(l.conn.begin())
	req, err := http.NewRequest(http.MethodGet, "http://127.0.0.1/", nil)
	is.NoErr(err)
	res, err := l.client.RoundTrip(req)
	is.NoErr(err)
	_, err = io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(l.conn.settle(), tc.Settles)
	time.Sleep(2 * time.Second)
	is.Equal(l.usable() && l.conn.begin() == nil, tc.Begins)
	if !tc.Begins {
		_, err = l.conn.Write([]byte("x"))
		is.True(err != nil)
	}
}
