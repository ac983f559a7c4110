package daemon

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/pflag"
	"github.com/spf13/viper"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// EnvPrefix is the prefix of the names of the daemon's environment variables.
const EnvPrefix = "GOLDCRESTD"

// Names of the settings, as used for flags.
const (
	SettingHTTPAddr      = "http-addr"
	SettingPeerAddr      = "peer-addr"
	SettingRegion        = "region"
	SettingZone          = "zone"
	SettingPlatformURL   = "platform-url"
	SettingStoreRegion   = "store-region"
	SettingName          = "name"
	SettingLogLevel      = "log-level"
	SettingLogFormat     = "log-format"
	SettingDrainTimeout  = "drain-timeout"
	SettingMemoryLimit   = "memory-limit-mib"
	SettingSeed          = "seed"
	SettingOperatorToken = "operator-token"
)

// Bounds and defaults of the settings.
const (
	DefaultDrainTimeout = 30 * time.Second
	MaxDrainTimeout     = 10 * time.Minute
	// DefaultMemoryLimit leaves memory for request traffic above the 64 MB that
	// the control part of the daemon may use.
	DefaultMemoryLimit = 256 * cluster.MiB
	minMemoryLimit     = 64 * cluster.MiB
	maxMemoryLimit     = 64 * cluster.GiB
)

// Settings are the validated settings of a daemon.
type Settings struct {
	// HTTPAddr and PeerAddr are the addresses on which the daemon listens and at
	// which callers and other daemons reach it.
	HTTPAddr    netip.AddrPort
	PeerAddr    netip.AddrPort
	Place       cluster.Place
	PlatformURL *url.URL
	// StoreRegion is the region of the platform's table service and object store.
	StoreRegion cluster.Region
	// Name is the name of the VM; by default the peer address.
	Name     string
	LogLevel zerolog.Level
	// LogConsole selects log lines for reading on a console instead of JSON.
	LogConsole bool
	// DrainTimeout limits the whole shutdown.
	DrainTimeout time.Duration
	// MemoryLimit is the memory of the process; the Go runtime and the limits for callers stay below it.
	MemoryLimit cluster.Bytes
	// OperatorToken is the bearer token that operators' calls must carry; if it is empty, no token is needed.
	OperatorToken string
	// Seed seeds the random source of the rack controller; zero selects a random seed.
	Seed uint64
}

// RegisterFlags adds the flags of all settings.
func RegisterFlags(flags *pflag.FlagSet) {
	flags.String(SettingHTTPAddr, "", "IP address and port for callers and operators, for example 10.0.0.5:8080")
	flags.String(SettingPeerAddr, "", "IP address and port for the other daemons, for example 10.0.0.5:7070")
	flags.String(SettingRegion, "", "region of this VM")
	flags.String(SettingZone, "", "availability zone of this VM")
	flags.String(SettingPlatformURL, "", "base URL of the platform, for example http://10.0.0.2:9000")
	flags.String(SettingStoreRegion, "", "region of the platform's table service and object store")
	flags.String(SettingName, "", "name of this VM in logs and listings; the peer address if empty")
	flags.String(SettingLogLevel, "info", "lowest level that is logged: debug, info, warn or error")
	flags.String(SettingLogFormat, "json", "format of log lines: json or console")
	flags.Duration(SettingDrainTimeout, DefaultDrainTimeout, "longest time to hand over racks and finish running requests at shutdown")
	flags.Int64(SettingMemoryLimit, int64(DefaultMemoryLimit/cluster.MiB), "memory of the process in MiB, from which the limits for callers follow")
	flags.String(SettingOperatorToken, "", "bearer token that operators' calls need; the same on all daemons; none if empty")
	flags.Uint64(SettingSeed, 0, "seed of the random source; 0 selects a random seed")
}

// EnvName returns the environment variable of a setting.
func EnvName(setting string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(setting, "-", "_"))
}

// LoadSettings reads flags and environment variables and validates every value; the error lists all invalid ones.
func LoadSettings(flags *pflag.FlagSet) (Settings, error) {
	v := viper.New()
	v.SetEnvPrefix(EnvPrefix)
	v.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	v.AutomaticEnv()
	if err := v.BindPFlags(flags); err != nil {
		return Settings{}, &Error{Op: "load settings", Kind: KindSetting, Err: err}
	}
	c := settingsChecker{viper: v}
	s := Settings{
		HTTPAddr:     c.addr(SettingHTTPAddr),
		PeerAddr:     c.addr(SettingPeerAddr),
		Place:        cluster.Place{Region: cluster.Region(c.name(SettingRegion)), Zone: cluster.Zone(c.name(SettingZone))},
		PlatformURL:  c.url(SettingPlatformURL),
		StoreRegion:  cluster.Region(c.name(SettingStoreRegion)),
		Name:         v.GetString(SettingName),
		LogLevel:     c.level(SettingLogLevel),
		LogConsole:   c.oneOf(SettingLogFormat, "json", "console") == "console",
		DrainTimeout: c.duration(SettingDrainTimeout, 0, MaxDrainTimeout),
		MemoryLimit:  c.mebibytes(SettingMemoryLimit, minMemoryLimit, maxMemoryLimit),
		Seed:         v.GetUint64(SettingSeed),

		OperatorToken: v.GetString(SettingOperatorToken),
	}
	if s.Name == "" {
		s.Name = s.PeerAddr.String()
	} else if !validName.MatchString(s.Name) {
		c.addError(SettingName, s.Name, "lower-case letters, digits and hyphens")
	}
	if s.HTTPAddr.IsValid() && s.HTTPAddr == s.PeerAddr {
		c.addError(SettingPeerAddr, s.PeerAddr.String(), "an address other than --"+SettingHTTPAddr)
	}
	if len(c.errs) > 0 {
		return Settings{}, &Error{Op: "load settings", Kind: KindSetting, Err: errors.Join(c.errs...)}
	}
	return s, nil
}

var validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// settingsChecker collects the errors of all settings, so that one start reports all invalid values.
type settingsChecker struct {
	viper *viper.Viper
	errs  []error
}

func (c *settingsChecker) addError(setting, value, allowed string) {
	c.errs = append(c.errs, settingError(setting, value, allowed))
}

func settingError(setting, value, allowed string) error {
	return fmt.Errorf("--%s (%s) is %q; allowed: %s", setting, EnvName(setting), value, allowed)
}

func (c *settingsChecker) addr(setting string) netip.AddrPort {
	value := c.viper.GetString(setting)
	addr, err := netip.ParseAddrPort(value)
	if err != nil || addr.Addr().IsUnspecified() || addr.Port() == 0 {
		c.addError(setting, value, "an IP address of this VM and a port, such as 10.0.0.5:8080")
		return netip.AddrPort{}
	}
	return addr
}

func (c *settingsChecker) name(setting string) string {
	value := c.viper.GetString(setting)
	if !validName.MatchString(value) {
		c.addError(setting, value, "lower-case letters, digits and hyphens, at most 63")
	}
	return value
}

func (c *settingsChecker) url(setting string) *url.URL {
	value := c.viper.GetString(setting)
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.addError(setting, value, "an http or https URL with a host")
		return nil
	}
	return u
}

func (c *settingsChecker) level(setting string) zerolog.Level {
	level, _ := zerolog.ParseLevel(c.oneOf(setting, "debug", "info", "warn", "error"))
	return level
}

func (c *settingsChecker) oneOf(setting string, allowed ...string) string {
	value := c.viper.GetString(setting)
	for _, a := range allowed {
		if value == a {
			return value
		}
	}
	c.addError(setting, value, strings.Join(allowed, ", "))
	return allowed[0]
}

func (c *settingsChecker) duration(setting string, minimum, maximum time.Duration) time.Duration {
	value := c.viper.GetString(setting)
	d, err := time.ParseDuration(value)
	if err != nil || d < minimum || d > maximum {
		c.addError(setting, value, fmt.Sprintf("a duration from %s to %s", minimum, maximum))
	}
	return d
}

func (c *settingsChecker) mebibytes(setting string, minimum, maximum cluster.Bytes) cluster.Bytes {
	size := cluster.Bytes(c.viper.GetInt64(setting)) * cluster.MiB
	if size < minimum || size > maximum {
		c.addError(setting, c.viper.GetString(setting), fmt.Sprintf("a whole number from %d to %d", minimum/cluster.MiB, maximum/cluster.MiB))
	}
	return size
}
