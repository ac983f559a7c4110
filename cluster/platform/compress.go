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

// compressThreshold is the smallest size at which a body is compressed; below
// it the header and the CPU time cost more than the saved bytes.
const compressThreshold cluster.Bytes = 400

const (
	headerContentEncoding = "Content-Encoding"
	headerAcceptEncoding  = "Accept-Encoding"
	encodingGzip          = "gzip"
)

// gzipWriters pools gzip writers, because each one uses hundreds of kilobytes.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// Compress returns the gzip-compressed body and true, or the body itself and
// false if it is small or doesn't become smaller.
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

// ReadBody reads a body and decompresses it if the Content-Encoding header says
// gzip. A body of more than limit bytes after decompression is an error.
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

// CompressReply returns the body of a reply. If the request accepts gzip and the
// body is worth compressing, it returns the compressed body and sets the
// Content-Encoding header of the reply.
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
