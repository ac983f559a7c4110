package daemon

import (
	"crypto/rand"
	"encoding/base32"
	"io"
	"net"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Config configures a Daemon.
type Config struct {
	Settings
	Log zerolog.Logger
	// Version is the program's version, shown by GET /v1/status.
	Version string
	// HTTPListener and PeerListener, if set, are used instead of sockets that
	// New opens on HTTPAddr and PeerAddr.
	HTTPListener net.Listener
	PeerListener net.Listener
	// OnViolation is called with each violation of an invariant; if it is nil,
	// violations are only counted and logged.
	OnViolation func(message string)
}

// Config returns the configuration of a daemon that logs to w.
func (s *Settings) Config(w io.Writer) Config {
	if s.LogConsole {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.RFC3339}
	}
	log := zerolog.New(w).Level(s.LogLevel).With().Timestamp().Str("vm", s.Name).Logger()
	return Config{Settings: *s, Log: log}
}

// idBytes is the number of random bytes in a daemon's identifier.
const idBytes = 5

// newDaemonID returns an identifier made of the name and a random suffix, so that each run of a daemon has its own.
func newDaemonID(name string) cluster.DaemonID {
	random := make([]byte, idBytes)
	_, _ = rand.Read(random)
	suffix := strings.ToLower(base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(random))
	name = strings.NewReplacer(":", "-", ".", "-", "[", "", "]", "").Replace(name)
	return cluster.DaemonID(name + "-" + suffix)
}
