package main

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
	"github.com/spf13/viper"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform/standin"
)

// Names of the flags of serve, and the prefix of their environment variables.
const (
	flagCell        = "cell"
	flagListen      = "listen"
	flagAdminListen = "admin-listen"
	flagRunnerHost  = "runner-host"
	flagRunnerPort  = "runner-port"
	flagRunnerWork  = "runner-work"
	flagWorkers     = "workers"
	flagRunners     = "runners"
	flagSeed        = "seed"
	flagTimeScale   = "time-scale"
	flagEntry       = "entry"
	flagLogLevel    = "log-level"
	envPrefix       = "PLATFORMD"
)

// Limits of the numbers that override those of a cell. The one of runners is lower
// since every runner has its own listener.
const (
	maxWorkers = 10_000
	maxRunners = 1000
)

// settings are the validated settings of serve.
type settings struct {
	cell            standin.Cell
	listenAddr      netip.AddrPort
	adminAddr       netip.AddrPort
	runnerHost      netip.Addr
	runnerPort      uint16
	requestDuration time.Duration
	seed            uint64
	timeScale       float64
	entries         []entry
	logLevel        zerolog.Level
}

// entry is an entry VM for the platform's list.
type entry struct {
	id       string
	place    cluster.Place
	peerAddr netip.AddrPort
}

func addServeFlags(cmd *cobra.Command) {
	f := cmd.Flags()
	f.String(flagCell, "small", "cell to serve: "+cellNames())
	f.Int(flagWorkers, 0, "number of workers; 0 uses the number of the cell")
	f.Int(flagRunners, 0, "number of runners; 0 uses the number of the cell")
	f.String(flagListen, "127.0.0.1:7070", "address of the platform's API")
	f.String(flagAdminListen, "127.0.0.1:7071", "address of the admin API, which injects faults")
	f.String(flagRunnerHost, "127.0.0.1", "IP address of the runners")
	f.Int(flagRunnerPort, 0, "port of the first runner, the others use the ports after it; 0 chooses free ports")
	f.Duration(flagRunnerWork, 20*time.Millisecond, "execution time of a request at a runner")
	f.Uint64(flagSeed, 1, "seed of random faults")
	f.Float64(flagTimeScale, 1, "factor for the run times of tasks")
	f.StringArray(flagEntry, nil, "entry VM as id=zone=ip:port with its peer address; repeatable, separated by commas in the environment variable")
	f.String(flagLogLevel, "info", "minimum level of log lines: debug, info, warn or error")
}

// cellNames lists the names of the cells.
func cellNames() string {
	var names []string
	for _, c := range standin.Cells() {
		names = append(names, c.Name)
	}
	return strings.Join(names, ", ")
}

// settingError returns the error for a setting whose value is not allowed.
func settingError(flag string, value any, allowed string) error {
	variable := envPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
	return fmt.Errorf("--%s or %s: %q is not allowed; use %s", flag, variable, fmt.Sprint(value), allowed)
}

// loadSettings reads and checks all settings; flags take precedence over the
// environment.
func loadSettings(cmd *cobra.Command) (settings, error) {
	v := viper.New()
	v.SetEnvPrefix(envPrefix)
	v.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	v.AutomaticEnv()
	if err := v.BindPFlags(cmd.Flags()); err != nil {
		return settings{}, err
	}
	var s settings
	for _, load := range []func(*viper.Viper) error{s.loadCell, s.loadCellSize, s.loadAddresses, s.loadNumbers, s.loadEntries} {
		if err := load(v); err != nil {
			return settings{}, err
		}
	}
	return s, nil
}

func (s *settings) loadCell(v *viper.Viper) error {
	name := v.GetString(flagCell)
	for _, c := range standin.Cells() {
		if c.Name == name {
			s.cell = c
			return nil
		}
	}
	return settingError(flagCell, name, "one of "+cellNames())
}

// loadCellSize overrides the numbers of workers and runners of the cell. It must run
// before loadAddresses, which checks that there are enough ports for the runners.
func (s *settings) loadCellSize(v *viper.Viper) error {
	for _, n := range []struct {
		flag   string
		limit  int
		target *int
	}{{flagWorkers, maxWorkers, &s.cell.Workers}, {flagRunners, maxRunners, &s.cell.Runners}} {
		number, err := strconv.Atoi(v.GetString(n.flag))
		if err != nil || number < 0 || number > n.limit {
			return settingError(n.flag, v.GetString(n.flag), fmt.Sprintf("a number from 0 to %d", n.limit))
		}
		if number > 0 {
			*n.target = number
		}
	}
	return nil
}

func (s *settings) loadAddresses(v *viper.Viper) error {
	for _, a := range []struct {
		flag   string
		target *netip.AddrPort
	}{{flagListen, &s.listenAddr}, {flagAdminListen, &s.adminAddr}} {
		addr, err := netip.ParseAddrPort(v.GetString(a.flag))
		if err != nil {
			return settingError(a.flag, v.GetString(a.flag), "an address such as 127.0.0.1:7070")
		}
		*a.target = addr
	}
	host, err := netip.ParseAddr(v.GetString(flagRunnerHost))
	if err != nil {
		return settingError(flagRunnerHost, v.GetString(flagRunnerHost), "an IP address such as 127.0.0.1")
	}
	s.runnerHost = host
	port := v.GetString(flagRunnerPort)
	last := 65535 - s.cell.Runners
	number, err := strconv.Atoi(port)
	if err != nil || number < 0 || number > last {
		return settingError(flagRunnerPort, port, fmt.Sprintf("a number from 0 to %d", last))
	}
	s.runnerPort = uint16(number)
	return nil
}

func (s *settings) loadNumbers(v *viper.Viper) error {
	work, err := time.ParseDuration(v.GetString(flagRunnerWork))
	if err != nil || work < 0 {
		return settingError(flagRunnerWork, v.GetString(flagRunnerWork), "a duration such as 20ms")
	}
	s.requestDuration = work
	if s.seed, err = strconv.ParseUint(v.GetString(flagSeed), 10, 64); err != nil {
		return settingError(flagSeed, v.GetString(flagSeed), "a number")
	}
	s.timeScale, err = strconv.ParseFloat(v.GetString(flagTimeScale), 64)
	if err != nil || !(s.timeScale > 0 && s.timeScale <= 1000) {
		return settingError(flagTimeScale, v.GetString(flagTimeScale), "a number above 0 and up to 1000")
	}
	s.logLevel, err = zerolog.ParseLevel(v.GetString(flagLogLevel))
	if err != nil || s.logLevel < zerolog.DebugLevel || s.logLevel > zerolog.ErrorLevel {
		return settingError(flagLogLevel, v.GetString(flagLogLevel), "one of debug, info, warn, error")
	}
	return nil
}

func (s *settings) loadEntries(v *viper.Viper) error {
	for _, value := range v.GetStringSlice(flagEntry) {
		for text := range strings.SplitSeq(value, ",") {
			e, ok := s.parseEntry(text)
			if !ok {
				return settingError(flagEntry, text, "id=zone=ip:port with a zone of the cell, such as entry-1="+string(s.cell.Places()[0].Zone)+"=127.0.0.1:7100")
			}
			s.entries = append(s.entries, e)
		}
	}
	return nil
}

// parseEntry parses id=zone=ip:port; the zone must be one of the cell.
func (s *settings) parseEntry(text string) (entry, bool) {
	parts := strings.Split(text, "=")
	if len(parts) != 3 || parts[0] == "" {
		return entry{}, false
	}
	place := s.cell.PlaceOf(cluster.Zone(parts[1]))
	addr, err := netip.ParseAddrPort(parts[2])
	return entry{parts[0], place, addr}, err == nil && place.Zone != ""
}
