package standin

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// maxRequestBody limits the size of the body of a request in bytes.
const maxRequestBody = 8 << 20

// NewHandler returns a handler that serves the platform to platform.Client. It
// closes the connection of a call whose reply is lost.
func NewHandler(p *Platform) http.Handler {
	h := &handler{p}
	r := httprouter.New()
	r.POST("/v1/table/read", h.serve(h.read))
	r.POST("/v1/table/commit", h.serve(h.commit))
	r.PUT("/v1/objects", h.serve(h.putObject))
	r.GET("/v1/objects", h.serve(h.getObject))
	r.GET("/v1/vms", h.serve(h.listVMs))
	r.POST("/v1/racks/:rack/exchange", h.serve(h.exchange))
	return r
}

// handler implements the endpoints of NewHandler.
type handler struct{ p *Platform }

// request is an HTTP request whose body has been read, with the caller that it
// comes from.
type request struct {
	*http.Request
	caller *Caller
	body   []byte
	params httprouter.Params
}

// endpoint handles a request and returns the body of the reply.
type endpoint func(r *request) ([]byte, error)

// serve returns an HTTP handler that reads the body, calls an endpoint and
// writes its reply or error.
func (h *handler) serve(handle endpoint) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		body, err := platform.ReadBody(r.Header, http.MaxBytesReader(w, r.Body, maxRequestBody), maxRequestBody)
		if err != nil {
			writeError(w, &platform.Error{Op: "read body", Kind: platform.KindInvalid, Err: err})
			return
		}
		place := h.p.cfg.Cell.PlaceOf(cluster.Zone(r.Header.Get(platform.HeaderZone)))
		reply, err := handle(&request{r, h.p.Caller(place), body, params})
		if platform.IsKind(err, platform.KindUnknown) || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			writeError(w, err)
			return
		}
		writeReply(w, http.StatusOK, platform.CompressReply(r, w.Header(), reply))
	}
}

// writeReply sends a reply without the Date and Content-Type headers, which the
// client doesn't need.
func writeReply(w http.ResponseWriter, status int, body []byte) {
	header := w.Header()
	header["Date"] = nil
	header["Content-Type"] = nil
	w.WriteHeader(status)
	// The error is ignored: after a failed write the client sees a broken connection, which it handles.
	_, _ = w.Write(body)
}

// statusByKind maps kinds of errors to HTTP status codes. KindUnknown is missing,
// because serve closes the connection instead of replying.
var statusByKind = map[platform.Kind]int{
	platform.KindInvalid:     http.StatusBadRequest,
	platform.KindConflict:    http.StatusConflict,
	platform.KindUnavailable: http.StatusServiceUnavailable,
	platform.KindNotFound:    http.StatusNotFound,
	platform.KindThrottled:   http.StatusTooManyRequests,
	platform.KindExpired:     http.StatusGone,
}

// writeError sends an error reply.
func writeError(w http.ResponseWriter, err error) {
	var e *platform.Error
	status := http.StatusInternalServerError
	if errors.As(err, &e) {
		status = statusByKind[e.Kind]
	}
	writeReply(w, status, platform.EncodeError(err))
}

// invalidRequestError returns the error for a request that can't be decoded or
// has invalid values.
func invalidRequestError(err error) error {
	return &platform.Error{Op: "decode", Kind: platform.KindInvalid, Err: err}
}

func (h *handler) read(r *request) ([]byte, error) {
	req, err := platform.DecodeReadRequest(r.body)
	if err != nil {
		return nil, invalidRequestError(err)
	}
	reply, err := r.caller.Read(r.Context(), req)
	return platform.EncodeReadReply(reply), err
}

func (h *handler) commit(r *request) ([]byte, error) {
	txn, err := platform.DecodeTxn(r.body)
	if err != nil {
		return nil, invalidRequestError(err)
	}
	version, err := r.caller.Commit(r.Context(), txn)
	return platform.EncodeCommitReply(version), err
}

func (h *handler) putObject(r *request) ([]byte, error) {
	return nil, r.caller.PutObject(r.Context(), r.URL.Query().Get("name"), r.body)
}

func (h *handler) getObject(r *request) ([]byte, error) {
	return r.caller.GetObject(r.Context(), r.URL.Query().Get("name"))
}

func (h *handler) listVMs(r *request) ([]byte, error) {
	since := uint64(0)
	if s := r.URL.Query().Get("since"); s != "" {
		var err error
		if since, err = strconv.ParseUint(s, 10, 64); err != nil {
			return nil, invalidRequestError(fmt.Errorf("since: %w", err))
		}
	}
	delta, err := r.caller.ListVMsSince(r.Context(), since)
	return platform.EncodeVMDelta(delta), err
}

func (h *handler) exchange(r *request) ([]byte, error) {
	req, err := platform.DecodeExchangeRequest(cluster.RackID(r.params.ByName("rack")), r.body)
	if err != nil {
		return nil, invalidRequestError(err)
	}
	reply, err := r.caller.Exchange(r.Context(), req)
	return platform.EncodeExchangeReply(reply), err
}
