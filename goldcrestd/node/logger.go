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
)

// The time format is global in zerolog, so it is set before any logger is used.
func init() { zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs }

// logger writes log lines without blocking, even if the reader of the log is slow.
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

// Logger returns the process's logger.
func (l *logger) Logger() zerolog.Logger { return l.log }

// popDropped returns the number of lines dropped since the last call.
func (l *logger) popDropped() int64 { return l.dropped.Swap(0) }

// Close writes the buffered lines.
func (l *logger) Close() { _ = l.out.Close() }

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
