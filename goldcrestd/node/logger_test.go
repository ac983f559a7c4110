package node

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against requests that block because the reader of the log has stopped reading.
func TestLoggerDoesNotBlock(t *testing.T) {
	is := is.New(t)
	w := &blockedWriter{release: make(chan struct{})}
	l := newLogger(w, "vm")
	log := l.Logger()
	for range 4 * logBufferLines {
		log.Warn().Msg("a line")
	}
	close(w.release)
	l.Close()
	is.True(l.popDropped() > 0) // lines that exceed the buffer are counted
}

// Guards against a log that grows with the load: at ten times the limit, the
// number of written lines stays the same.
func TestLoggerLimitsLineRate(t *testing.T) {
	is := is.New(t)
	var dropped atomic.Int64
	s := &rateSampler{dropped: &dropped}
	is.True(s.Sample(zerolog.InfoLevel))
	firstSecond, written := s.second.Load(), 1
	for range 10*maxLinesPerSecond - 1 {
		if s.Sample(zerolog.InfoLevel) {
			written++
		}
	}
	seconds := int(s.second.Load()-firstSecond) + 1
	is.True(written <= seconds*maxLinesPerSecond)
	is.Equal(int(dropped.Load()), 10*maxLinesPerSecond-written)
	is.True(s.Sample(zerolog.ErrorLevel)) // errors are always written
}

// Guards against buffered lines that are lost when the process ends.
func TestLoggerFlushesOnClose(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var buf bytes.Buffer
	l := newLogger(writerFunc(func(p []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return buf.Write(p)
	}), "vm-1")
	log := l.Logger()
	log.Info().Str("job", "a").Msg("node: test")
	l.Close()
	mu.Lock()
	defer mu.Unlock()
	is.True(strings.Contains(buf.String(), `"vm":"vm-1"`))
	is.True(strings.Contains(buf.String(), `"message":"node: test"`))
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

var _ io.Writer = writerFunc(nil)
