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
	// Version is the program's version for status.
	Version string
	// HTTPListener and PeerListener replace the sockets that New opens on the
	// addresses of the settings.
	HTTPListener net.Listener
	PeerListener net.Listener
	// Fail is called with each violated invariant; nil only counts and logs.
	Fail func(message string)
}

// Config returns the configuration of a daemon that logs to w.
func (s *Settings) Config(w io.Writer) Config {
	if s.LogConsole {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.RFC3339}
	}
	log := zerolog.New(w).Level(s.LogLevel).With().Timestamp().Str("vm", s.Name).Logger()
	return Config{Settings: *s, Log: log}
}

// idBytes is the length of the random part of a daemon's identifier.
const idBytes = 5

// newDaemonID returns an identifier that no other run of a daemon has.
func newDaemonID(name string) cluster.DaemonID {
	random := make([]byte, idBytes)
	_, _ = rand.Read(random)
	suffix := strings.ToLower(base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(random))
	name = strings.NewReplacer(":", "-", ".", "-", "[", "", "]", "").Replace(name)
	return cluster.DaemonID(name + "-" + suffix)
}
