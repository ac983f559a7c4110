package platform

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// compressFrom is the size from which a body is compressed; below it the header
// and the processor time cost more than the bytes saved.
const compressThreshold cluster.Bytes = 400

const (
	headerContentEncoding = "Content-Encoding"
	headerAcceptEncoding  = "Accept-Encoding"
	encodingGzip          = "gzip"
)

// writers are reused, because a gzip writer takes hundreds of kilobytes.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// Compress returns the body with gzip applied, or the body itself and false if it is small.
func Compress(body []byte) ([]byte, bool) {
	if cluster.Bytes(len(body)) < compressThreshold {
		return body, false
	}
	w, ok := gzipWriters.Get().(*gzip.Writer)
	if !ok {
		return body, false
	}
	defer gzipWriters.Put(w)
	var b bytes.Buffer
	w.Reset(&b)
	if _, err := w.Write(body); err != nil {
		return body, false
	}
	if err := w.Close(); err != nil || b.Len() >= len(body) {
		return body, false
	}
	return b.Bytes(), true
}

// ReadBody reads a body of at most limit bytes, counted after decompression if the header says that it is compressed.
func ReadBody(header http.Header, body io.Reader, limit cluster.Bytes) ([]byte, error) {
	if header.Get(headerContentEncoding) == encodingGzip {
		z, err := gzip.NewReader(body)
		if err != nil {
			return nil, err
		}
		body = z
	}
	data, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err == nil && cluster.Bytes(len(data)) > limit {
		err = errors.New("the body is larger than the limit")
	}
	return data, err
}

// CompressReply sets the header of a reply and returns its body, compressed if the request accepts that.
func CompressReply(r *http.Request, reply http.Header, body []byte) []byte {
	if !strings.Contains(r.Header.Get(headerAcceptEncoding), encodingGzip) {
		return body
	}
	data, ok := Compress(body)
	if ok {
		reply.Set(headerContentEncoding, encodingGzip)
	}
	return data
}
