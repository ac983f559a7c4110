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

// Defaults for the zero fields of a ClientConfig.
const (
	DefaultTimeout  = 3 * time.Second
	DefaultMaxConns = 16
	DefaultMaxReply = 16 * cluster.MiB
	// maxErrorBody limits the size of an error reply in bytes.
	maxErrorBody = 64 << 10
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// BaseURL is the address of the platform's HTTP API, such as http://10.0.0.1:7070.
	BaseURL string
	// Self is the region and zone of this process.
	Self cluster.Place
	// StoreRegion is the region of the table service, the object store and
	// the VM list; the traffic of calls to them is counted for this region.
	StoreRegion cluster.Region
	// Timeout limits each call; an earlier deadline of the context takes precedence.
	Timeout time.Duration
	// Bytes counts the traffic by cause and region; nil disables counting.
	Bytes *paidlink.Counter
	// MaxConns limits the connections for store calls and, separately, those
	// for rack exchanges, so that stalled calls of one kind don't block the
	// other kind.
	MaxConns int
	// MaxReply limits the size of a reply body.
	MaxReply cluster.Bytes
}

// Client calls the platform over HTTP. It implements TableService, ObjectStore,
// VMLister and RackService and is safe for concurrent use.
type Client struct {
	cfg ClientConfig
	// storeConns serves the table service, the object store and the VM list.
	storeConns *connPool
	// rackConns serves the exchanges with racks.
	rackConns *connPool

	mu sync.Mutex
	// rackRegions holds the region of each rack that has sent a worker report.
	rackRegions map[cluster.RackID]cluster.Region
	vmCache     vmCache
}

var (
	_ TableService = (*Client)(nil)
	_ ObjectStore  = (*Client)(nil)
	_ VMLister     = (*Client)(nil)
	_ RackService  = (*Client)(nil)
)

// NewClient returns a client for the platform at cfg.BaseURL. The caller must
// call Close to close its idle connections.
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
		cfg: cfg, storeConns: newConnPool(cfg), rackConns: newConnPool(cfg),
		rackRegions: map[cluster.RackID]cluster.Region{}, vmCache: vmCache{vms: map[string]VM{}},
	}, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.storeConns.close()
	c.rackConns.close()
}

// callEffect is whether a call changes anything. It determines the kind of the
// error when the reply is lost.
type callEffect int

const (
	// readOnly calls change nothing: a lost reply is KindUnavailable.
	readOnly callEffect = iota
	// mutating calls may have been applied although the reply is lost: KindUnknown.
	mutating
)

// Read returns the rows that the request selects.
func (c *Client) Read(ctx context.Context, req ReadRequest) (ReadReply, error) {
	const op = "read"
	data, err := c.callStore(ctx, op, http.MethodPost, "/v1/table/read", EncodeReadRequest(req), readOnly)
	if err != nil {
		return ReadReply{}, err
	}
	reply, err := DecodeReadReply(data)
	return reply, malformedReplyError(op, err, readOnly)
}

// Commit applies a transaction atomically and returns its version.
func (c *Client) Commit(ctx context.Context, txn Txn) (cluster.Version, error) {
	const op = "commit"
	data, err := c.callStore(ctx, op, http.MethodPost, "/v1/table/commit", EncodeTxn(txn), mutating)
	if err != nil {
		return 0, err
	}
	version, err := DecodeCommitReply(data)
	return version, malformedReplyError(op, err, mutating)
}

// PutObject stores an object under a name.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.callStore(ctx, "put object", http.MethodPut, objectPath(name), data, mutating)
	return err
}

// GetObject returns the content of an object.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.callStore(ctx, "get object", http.MethodGet, objectPath(name), nil, readOnly)
}

func objectPath(name string) string { return "/v1/objects?name=" + url.QueryEscape(name) }

// vmCache is the VM list as of the last reply, so that later calls transfer only
// the changes since its version.
type vmCache struct {
	version uint64
	vms     map[string]VM
}

// ListVMs returns the platform's list of VMs, sorted by ID.
func (c *Client) ListVMs(ctx context.Context) ([]VM, error) {
	const op = "list VMs"
	c.mu.Lock()
	since := c.vmCache.version
	c.mu.Unlock()
	data, err := c.callStore(ctx, op, http.MethodGet, "/v1/vms?since="+strconv.FormatUint(since, 10), nil, readOnly)
	if err != nil {
		return nil, err
	}
	delta, err := DecodeVMDelta(data)
	if err != nil {
		return nil, malformedReplyError(op, err, readOnly)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// A delta applies only to the version that was requested; a concurrent call
	// may have updated the cache in the meantime.
	if delta.Full || since == c.vmCache.version {
		c.vmCache.apply(delta)
	}
	return c.vmCache.sorted(), nil
}

func (c *vmCache) apply(delta VMDelta) {
	if delta.Full {
		clear(c.vms)
	}
	for _, vm := range delta.VMs {
		c.vms[vm.ID] = vm
	}
	for _, id := range delta.Removed {
		delete(c.vms, id)
	}
	c.version = delta.Version
}

func (c *vmCache) sorted() []VM {
	vms := make([]VM, 0, len(c.vms))
	for _, vm := range c.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}

// Exchange renews leases, executes commands and returns the workers that changed.
func (c *Client) Exchange(ctx context.Context, req ExchangeRequest) (ExchangeReply, error) {
	const op = "exchange"
	path := "/v1/racks/" + url.PathEscape(string(req.Rack)) + "/exchange"
	data, traffic, err := c.rackConns.do(ctx, call{op, http.MethodPost, path, EncodeExchangeRequest(req), mutating})
	var reply ExchangeReply
	if err == nil {
		reply, err = DecodeExchangeReply(data)
		err = malformedReplyError(op, err, mutating)
	}
	if err == nil && len(reply.Results) != len(req.Commands) {
		err = &Error{Op: op, Kind: KindUnknown, Err: fmt.Errorf("%d results for %d commands", len(reply.Results), len(req.Commands))}
	}
	c.cfg.Bytes.Count(paidlink.CauseRack, c.rackRegion(req.Rack, reply), traffic)
	return reply, err
}

// rackRegion returns the region of a rack, taken from the reports of
// the rack's workers and cached; it is empty before the first report.
func (c *Client) rackRegion(rack cluster.RackID, reply ExchangeReply) cluster.Region {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(reply.Workers) > 0 {
		c.rackRegions[rack] = reply.Workers[0].Place.Region
	}
	return c.rackRegions[rack]
}

// callStore calls the table service, the object store or the VM list and counts the traffic.
func (c *Client) callStore(ctx context.Context, op, method, path string, body []byte, effect callEffect) ([]byte, error) {
	data, traffic, err := c.storeConns.do(ctx, call{op, method, path, body, effect})
	c.cfg.Bytes.Count(paidlink.CauseStore, c.cfg.StoreRegion, traffic)
	return data, err
}

// malformedReplyError returns the error of a call whose reply can't be decoded,
// or nil if err is nil.
func malformedReplyError(op string, err error, effect callEffect) error {
	if err == nil {
		return nil
	}
	return replyLostError(op, fmt.Errorf("malformed reply: %w", err), effect)
}

// replyLostError returns the error of a call that was sent and got no usable reply.
func replyLostError(op string, err error, effect callEffect) error {
	if effect == mutating {
		return &Error{Op: op, Kind: KindUnknown, Err: err}
	}
	return &Error{Op: op, Kind: KindUnavailable, Err: err}
}

// call is one HTTP request to the platform.
type call struct {
	// op is the name of the operation in errors.
	op     string
	method string
	path   string
	body   []byte
	effect callEffect
}

// do sends a request and returns the reply's body and the number of bytes
// transferred in both directions.
func (p *connPool) do(ctx context.Context, c call) (data []byte, traffic int, err error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	trace := &requestTrace{}
	body, compressed := Compress(c.body)
	req, err := http.NewRequestWithContext(trace.withTrace(ctx), c.method, p.cfg.BaseURL+c.path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, &Error{Op: c.op, Kind: KindInvalid, Err: err}
	}
	if compressed {
		req.Header.Set(headerContentEncoding, encodingGzip)
	}
	// An empty value prevents the transport from sending its default
	// User-Agent, which would add bytes to every exchange.
	req.Header.Set("User-Agent", "")
	if p.cfg.Self.Zone != "" {
		req.Header.Set(HeaderZone, string(p.cfg.Self.Zone))
	}
	data, err = p.roundTrip(req, c, trace)
	return data, trace.resetByteCount(), err
}

// roundTrip sends the request and returns the body of a successful reply, or an
// *Error that classifies the failure.
func (p *connPool) roundTrip(req *http.Request, c call, trace *requestTrace) ([]byte, error) {
	resp, err := p.transport.RoundTrip(req)
	if err != nil && !trace.connected() {
		// The request got no connection, so nothing was sent.
		return nil, &Error{Op: c.op, Kind: KindUnavailable, Err: err}
	}
	if err != nil {
		return nil, replyLostError(c.op, err, c.effect)
	}
	defer resp.Body.Close()
	limit := int64(p.cfg.MaxReply)
	if resp.StatusCode != http.StatusOK {
		limit = maxErrorBody
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = fmt.Errorf("the reply has more than %d bytes", limit)
	}
	if err != nil {
		return nil, replyLostError(c.op, err, c.effect)
	}
	if resp.StatusCode == http.StatusOK {
		return data, nil
	}
	if err := DecodeError(c.op, data); err != nil {
		return nil, err
	}
	return nil, replyLostError(c.op, errors.New(resp.Status), c.effect)
}
