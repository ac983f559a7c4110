package node

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// logLines is the number of lines that wait for a slow reader; more are dropped.
	logBufferLines = 4096
	// logInterval is the time between two writes of what waits.
	logPollInterval = 50 * time.Millisecond
	// logRate bounds the lines of a second; the rest are counted and dropped.
	maxLinesPerSecond = 2000
)

// The format is one for the process, so that it is set before any logger is used.
func init() { zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs }

// logger writes lines to a reader that may be slow, without blocking.
type logger struct {
	out     diode.Writer
	log     zerolog.Logger
	dropped atomic.Int64
}

func newLogger(w io.Writer, vm string) *logger {
	l := &logger{}
	l.out = diode.NewWriter(w, logBufferLines, logPollInterval, func(missed int) { l.dropped.Add(int64(missed)) })
	sampler := &rateSampler{dropped: &l.dropped}
	l.log = zerolog.New(l.out).Level(zerolog.InfoLevel).Sample(sampler).With().Timestamp().Str("vm", vm).Logger()
	return l
}

// Logger returns the logger of the process.
func (l *logger) Logger() zerolog.Logger { return l.log }

// takeDropped returns how many lines were dropped since the last call.
func (l *logger) popDropped() int64 { return l.dropped.Swap(0) }

// Close writes what waits.
func (l *logger) Close() { _ = l.out.Close() }

// rateSampler lets logRate lines of a second through, and every warning and error.
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
