package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/paidlink"
)

// Defaults of a ClientConfig.
const (
	DefaultTimeout  = 3 * time.Second
	DefaultMaxConns = 16
	DefaultMaxReply = 16 * cluster.MiB
	// maxErrorBytes limits the part of a refusal that is read.
	maxErrorBytes = 64 << 10
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// BaseURL is the address of the platform's HTTP API, such as http://10.0.0.1:7070.
	BaseURL string
	// Self is the place of this process.
	Self cluster.Place
	// StoreRegion is where the stores and the VM list are; bytes to and from it are counted as such.
	StoreRegion cluster.Region
	// Timeout limits each call; a sooner deadline of the context wins.
	Timeout time.Duration
	// Bytes counts the traffic; nil counts none.
	Bytes *paidlink.Counter
	// MaxConns limits the connections to the stores and, separately, to the
	// racks, so that calls that hang at one don't hold up the other.
	MaxConns int
	// MaxReply limits the size of a reply.
	MaxReply cluster.Bytes
}

// Client reaches the platform over HTTP; it implements every interface of the package.
type Client struct {
	cfg   ClientConfig
	store *link
	racks *link

	mu sync.Mutex
	// regions holds the region of each rack as far as it is known from reports.
	regions map[cluster.RackID]cluster.Region
	list    vmCache
}

var (
	_ TableService = (*Client)(nil)
	_ ObjectStore  = (*Client)(nil)
	_ VMLister     = (*Client)(nil)
	_ RackService  = (*Client)(nil)
)

// NewClient returns a client; Close closes its idle connections.
func NewClient(cfg ClientConfig) (*Client, error) {
	base, err := url.Parse(cfg.BaseURL)
	if err != nil || base.Scheme != "http" || base.Host == "" || strings.Trim(base.Path, "/") != "" {
		return nil, &Error{Op: "new client", Kind: KindInvalid, Err: fmt.Errorf("%q is not a URL such as http://10.0.0.1:7070", cfg.BaseURL)}
	}
	cfg.BaseURL = base.Scheme + "://" + base.Host
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.MaxConns == 0 {
		cfg.MaxConns = DefaultMaxConns
	}
	if cfg.MaxReply == 0 {
		cfg.MaxReply = DefaultMaxReply
	}
	return &Client{
		cfg: cfg, store: newLink(cfg), racks: newLink(cfg),
		regions: map[cluster.RackID]cluster.Region{}, list: vmCache{vms: map[string]VM{}},
	}, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.store.close()
	c.racks.close()
}

// effect says what a call does, and with it what a lost answer means.
type effect int

const (
	// reads changes nothing: a lost answer is KindUnavailable.
	reads effect = iota
	// writes may have been applied when its answer is lost: KindUnknown.
	writes
)

// Read returns the rows that the request selects.
func (c *Client) Read(ctx context.Context, req ReadRequest) (ReadReply, error) {
	const op = "read"
	data, err := c.callStore(ctx, op, http.MethodPost, "/v1/table/read", EncodeReadRequest(req), reads)
	if err != nil {
		return ReadReply{}, err
	}
	reply, err := DecodeReadReply(data)
	return reply, malformed(op, err, reads)
}

// Commit applies a transaction or nothing.
func (c *Client) Commit(ctx context.Context, txn Txn) (cluster.Version, error) {
	const op = "commit"
	data, err := c.callStore(ctx, op, http.MethodPost, "/v1/table/commit", EncodeTxn(txn), writes)
	if err != nil {
		return 0, err
	}
	version, err := DecodeCommitted(data)
	return version, malformed(op, err, writes)
}

// PutObject stores an object.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.callStore(ctx, "put object", http.MethodPut, objectPath(name), data, writes)
	return err
}

// GetObject returns an object.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.callStore(ctx, "get object", http.MethodGet, objectPath(name), nil, reads)
}

func objectPath(name string) string { return "/v1/objects?name=" + url.QueryEscape(name) }

// vmCache is the VM list as of the last reply; later calls transfer only what changed.
type vmCache struct {
	version uint64
	vms     map[string]VM
}

// ListVMs returns the platform's list of VMs, by id.
func (c *Client) ListVMs(ctx context.Context) ([]VM, error) {
	const op = "list VMs"
	c.mu.Lock()
	since := c.list.version
	c.mu.Unlock()
	data, err := c.callStore(ctx, op, http.MethodGet, "/v1/vms?since="+strconv.FormatUint(since, 10), nil, reads)
	if err != nil {
		return nil, err
	}
	delta, err := DecodeVMDelta(data)
	if err != nil {
		return nil, malformed(op, err, reads)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// A delta only applies to the version it was asked for; another call may have been faster.
	if delta.Full || since == c.list.version {
		c.list.apply(delta)
	}
	return c.list.sorted(), nil
}

func (l *vmCache) apply(delta VMDelta) {
	if delta.Full {
		clear(l.vms)
	}
	for _, vm := range delta.VMs {
		l.vms[vm.ID] = vm
	}
	for _, id := range delta.Removed {
		delete(l.vms, id)
	}
	l.version = delta.Version
}

func (l *vmCache) sorted() []VM {
	vms := make([]VM, 0, len(l.vms))
	for _, vm := range l.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}

// Exchange renews leases, carries out commands and returns the workers that changed.
func (c *Client) Exchange(ctx context.Context, req ExchangeRequest) (ExchangeReply, error) {
	const op = "exchange"
	path := "/v1/racks/" + url.PathEscape(string(req.Rack)) + "/exchange"
	data, traffic, err := c.racks.call(ctx, call{op, http.MethodPost, path, EncodeExchangeRequest(req), writes})
	var reply ExchangeReply
	if err == nil {
		reply, err = DecodeExchangeReply(data)
		err = malformed(op, err, writes)
	}
	if err == nil && len(reply.Results) != len(req.Commands) {
		err = &Error{Op: op, Kind: KindUnknown, Err: fmt.Errorf("%d results for %d commands", len(reply.Results), len(req.Commands))}
	}
	c.cfg.Bytes.Count(paidlink.CauseRack, c.rackRegion(req.Rack, reply), traffic)
	return reply, err
}

// rackRegion returns the region of a rack, learnt from the reports of its workers.
func (c *Client) rackRegion(rack cluster.RackID, reply ExchangeReply) cluster.Region {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(reply.Workers) > 0 {
		c.regions[rack] = reply.Workers[0].Place.Region
	}
	return c.regions[rack]
}

func (c *Client) callStore(ctx context.Context, op, method, path string, body []byte, e effect) ([]byte, error) {
	data, traffic, err := c.store.call(ctx, call{op, method, path, body, e})
	c.cfg.Bytes.Count(paidlink.CauseStore, c.cfg.StoreRegion, traffic)
	return data, err
}

// malformed classifies a reply that doesn't decode; it returns nil for a nil error.
func malformed(op string, err error, e effect) error {
	if err == nil {
		return nil
	}
	return lost(op, fmt.Errorf("malformed reply: %w", err), e)
}

// lost returns the error of a call that was sent and got no usable answer.
func lost(op string, err error, e effect) error {
	if e == writes {
		return &Error{Op: op, Kind: KindUnknown, Err: err}
	}
	return &Error{Op: op, Kind: KindUnavailable, Err: err}
}

// call is one HTTP request.
type call struct {
	op     string
	method string
	path   string
	body   []byte
	effect effect
}

// call sends a request and returns the reply's body and the bytes on the wire.
func (l *link) call(ctx context.Context, c call) (data []byte, traffic int, err error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Timeout)
	defer cancel()
	trace := &trace{}
	body, compressed := Compress(c.body)
	req, err := http.NewRequestWithContext(trace.attach(ctx), c.method, l.cfg.BaseURL+c.path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, &Error{Op: c.op, Kind: KindInvalid, Err: err}
	}
	if compressed {
		req.Header.Set(headerEncoding, encodingGzip)
	}
	// An empty value keeps the transport from sending its own; each header costs
	// bytes in every exchange.
	req.Header.Set("User-Agent", "")
	if l.cfg.Self.Zone != "" {
		req.Header.Set(HeaderZone, string(l.cfg.Self.Zone))
	}
	data, err = l.roundTrip(req, c, trace)
	return data, trace.bytes(), err
}

func (l *link) roundTrip(req *http.Request, c call, trace *trace) ([]byte, error) {
	resp, err := l.transport.RoundTrip(req)
	if err != nil && !trace.connected() {
		// Without a connection nothing was sent.
		return nil, &Error{Op: c.op, Kind: KindUnavailable, Err: err}
	}
	if err != nil {
		return nil, lost(c.op, err, c.effect)
	}
	defer resp.Body.Close()
	limit := int64(l.cfg.MaxReply)
	if resp.StatusCode != http.StatusOK {
		limit = maxErrorBytes
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = fmt.Errorf("the reply has more than %d bytes", limit)
	}
	if err != nil {
		return nil, lost(c.op, err, c.effect)
	}
	if resp.StatusCode == http.StatusOK {
		return data, nil
	}
	if err := DecodeError(c.op, data); err != nil {
		return nil, err
	}
	return nil, lost(c.op, errors.New(resp.Status), c.effect)
}
