package node

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// logBufferLines is the number of lines that are buffered while the reader of the log is slow. When the
	// buffer is full, lines are dropped.
	logBufferLines = 4096
	// logPollInterval is the interval at which the buffered lines are written.
	logPollInterval = 50 * time.Millisecond
	// maxLinesPerSecond limits the lines below the level warn; the others are counted and dropped.
	maxLinesPerSecond = 2000
	// logFlushTimeout limits how long Close waits for the buffered lines.
	logFlushTimeout = time.Second
)

// The time format is global in zerolog, so it is set before any logger is used.
func init() { zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs }

// logger writes log lines without blocking, even if the reader of the log is slow.
type logger struct {
	out     diode.Writer
	log     zerolog.Logger
	dropped atomic.Int64
	// queued and written count the lines that were passed to out and that out has written; missed counts those that
	// did not fit into its buffer.
	queued, written, missed atomic.Int64
}

func newLogger(w io.Writer, vm string) *logger {
	l := &logger{}
	l.out = diode.NewWriter(countingWriter{out: w, lines: &l.written}, logBufferLines, logPollInterval, func(missed int) {
		l.missed.Add(int64(missed))
		l.dropped.Add(int64(missed))
	})
	sampler := &rateSampler{dropped: &l.dropped}
	l.log = zerolog.New(countingWriter{out: l.out, lines: &l.queued}).Level(zerolog.InfoLevel).Sample(sampler).With().Timestamp().Str("vm", vm).Logger()
	return l
}

// Logger returns the process's logger.
func (l *logger) Logger() zerolog.Logger { return l.log }

// popDropped returns the number of lines dropped since the last call.
func (l *logger) popDropped() int64 { return l.dropped.Swap(0) }

// Close writes the buffered lines. It waits for them, as the buffer discards a line that is queued while the buffer is
// closed.
func (l *logger) Close() {
	deadline := time.Now().Add(logFlushTimeout)
	for l.written.Load()+l.missed.Load() < l.queued.Load() && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	_ = l.out.Close()
}

// countingWriter counts the lines that it passes on.
type countingWriter struct {
	out   io.Writer
	lines *atomic.Int64
}

func (w countingWriter) Write(p []byte) (int, error) {
	defer w.lines.Add(1)
	return w.out.Write(p)
}

// rateSampler passes maxLinesPerSecond lines a second, and every warning and error.
type rateSampler struct {
	second  atomic.Int64
	lines   atomic.Int64
	dropped *atomic.Int64
}

// Sample reports whether a line is written.
func (s *rateSampler) Sample(level zerolog.Level) bool {
	if level >= zerolog.WarnLevel {
		return true
	}
	if now := time.Now().Unix(); s.second.Swap(now) != now {
		s.lines.Store(0)
	}
	if s.lines.Add(1) > maxLinesPerSecond {
		s.dropped.Add(1)
		return false
	}
	return true
}
