package main

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/goldcrestshift/goldcrestshift/goldcrestd/node"
	"github.com/goldcrestshift/goldcrestshift/platform"
)

func newNodeCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "node",
		Short: "Serve clients on a VM of the users' platform until SIGTERM",
		Long: fmt.Sprintf(`Node runs the daemon on a VM of the users' platform. Every VM runs the same
program. The environment variable %s names the settings file.

SIGTERM starts a graceful shutdown: the pools are handed over and running
requests finish. SIGHUP reads the settings file again.`, platform.SettingsVariable),
		Example: "  " + platform.SettingsVariable + "=/etc/goldcrestshift/node.yaml goldcrestd node",
		Args:    cobra.NoArgs,
		RunE:    runNodeCmd,
	}
	cmd.Flags().Uint16(metricsPortSetting.flag, node.DefaultMetricsPort, "port of the metrics, also set by "+metricsPortSetting.variable)
	cmd.Flags().Uint16(shardWorkersSetting.flag, node.DefaultShardWorkers,
		"most workers of a shard when the cell is divided at its first start, also set by "+shardWorkersSetting.variable)
	cmd.Flags().String(useHalfLifeFlag, node.DefaultUseHalfLife.String(), "half-life of the past use of the teams, which orders waiting work while a pool is\n"+
		"full; 0 orders it without regard to their use; also set by "+useHalfLifeVariable)
	cmd.Flags().String(admissionFlag, admissionOn, "whether jobs that can't be served in time are rejected while their pool is full, on or off,\n"+
		"also set by "+admissionVariable)
	cmd.Flags().String(advertiseFlag, "", "IP address and port at which other daemons reach this one if it is not the address\n"+
		"that it listens on, also set by "+advertiseVariable)
	return cmd
}

// Flag and environment variable of the advertised address. The flag takes precedence.
const (
	advertiseFlag     = "advertise-addr"
	advertiseVariable = "GOLDCRESTD_ADVERTISE_ADDR"
)

// advertiseAddr returns the address from the flag or the environment variable, or zero if neither is set.
func advertiseAddr(cmd *cobra.Command) (netip.AddrPort, error) {
	value, err := cmd.Flags().GetString(advertiseFlag)
	if err != nil {
		return netip.AddrPort{}, err
	}
	name := "--" + advertiseFlag
	if value == "" {
		value, name = os.Getenv(advertiseVariable), advertiseVariable
	}
	if value == "" {
		return netip.AddrPort{}, nil
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil || addr.Addr().IsUnspecified() || addr.Port() == 0 {
		return netip.AddrPort{}, &usageError{fmt.Errorf("%s is %q; an IP address and a port are needed", name, value)}
	}
	return addr, nil
}

// Flag and environment variable of the half-life of the past use of the teams, with its range. The flag takes precedence.
const (
	useHalfLifeFlag     = "use-half-life"
	useHalfLifeVariable = "GOLDCRESTD_USE_HALF_LIFE"
	minUseHalfLife      = time.Second
	maxUseHalfLife      = 168 * time.Hour
)

// useHalfLife returns the half-life from the flag or the environment variable; zero turns off the regard to the use.
func useHalfLife(cmd *cobra.Command) (time.Duration, error) {
	text, err := cmd.Flags().GetString(useHalfLifeFlag)
	if err != nil {
		return 0, err
	}
	name := "--" + useHalfLifeFlag
	if value := os.Getenv(useHalfLifeVariable); value != "" && !cmd.Flags().Changed(useHalfLifeFlag) {
		text, name = value, useHalfLifeVariable
	}
	halfLife, err := time.ParseDuration(text)
	if err != nil || halfLife != 0 && (halfLife < minUseHalfLife || halfLife > maxUseHalfLife) {
		return 0, &usageError{fmt.Errorf("%s is %q; 0 or a duration from 1s to 168h is needed", name, text)}
	}
	return halfLife, nil
}

// Flag and environment variable of the admission of jobs. The flag takes precedence.
const (
	admissionFlag     = "admission"
	admissionVariable = "GOLDCRESTD_ADMISSION"
	admissionOn       = "on"
	admissionOff      = "off"
)

// admissionEnabled returns whether the flag or the environment variable enables the admission of jobs.
func admissionEnabled(cmd *cobra.Command) (bool, error) {
	value, err := cmd.Flags().GetString(admissionFlag)
	if err != nil {
		return false, err
	}
	name := "--" + admissionFlag
	if fromEnvironment := os.Getenv(admissionVariable); fromEnvironment != "" && !cmd.Flags().Changed(admissionFlag) {
		value, name = fromEnvironment, admissionVariable
	}
	if value != admissionOn && value != admissionOff {
		return false, &usageError{fmt.Errorf("%s is %q; %s or %s is needed", name, value, admissionOn, admissionOff)}
	}
	return value == admissionOn, nil
}

// numberSetting is a number set by a flag or an environment variable. The flag takes precedence.
type numberSetting struct {
	flag     string
	variable string
	// allowed describes the allowed numbers in error messages.
	allowed string
}

var (
	metricsPortSetting  = numberSetting{"metrics-port", "GOLDCRESTD_METRICS_PORT", "a port from 1 to 65535"}
	shardWorkersSetting = numberSetting{"shard-workers", "GOLDCRESTD_SHARD_WORKERS", "a number from 1 to 65535"}
)

// value returns the number from the flag or the environment variable.
func (s *numberSetting) value(cmd *cobra.Command) (uint16, error) {
	number, err := cmd.Flags().GetUint16(s.flag)
	if err != nil {
		return 0, err
	}
	text, name := strconv.Itoa(int(number)), "--"+s.flag
	if value := os.Getenv(s.variable); value != "" && !cmd.Flags().Changed(s.flag) {
		text, name = value, s.variable
	}
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil || n == 0 {
		return 0, &usageError{fmt.Errorf("%s is %q; %s is needed", name, text, s.allowed)}
	}
	return uint16(n), nil
}

func runNodeCmd(cmd *cobra.Command, _ []string) error {
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	port, err := metricsPortSetting.value(cmd)
	if err != nil {
		return err
	}
	workers, err := shardWorkersSetting.value(cmd)
	if err != nil {
		return err
	}
	halfLife, err := useHalfLife(cmd)
	if err != nil {
		return err
	}
	addr, err := advertiseAddr(cmd)
	if err != nil {
		return err
	}
	admission, err := admissionEnabled(cmd)
	if err != nil {
		return err
	}
	err = node.Run(ctx, node.Config{
		SettingsPath: os.Getenv(platform.SettingsVariable), MetricsPort: port, ShardWorkers: int(workers), UseHalfLife: halfLife, AdvertiseAddr: addr, Admission: admission,
		LogOutput: cmd.OutOrStdout(),
	})
	var settingErr *platform.Error
	if errors.As(err, &settingErr) && settingErr.Kind == platform.KindSetting {
		return &usageError{err}
	}
	return err
}
