package main

import (
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/viper"
)

// Names of the flags of all commands, and the prefix of their environment variables.
const (
	flagServer  = "server"
	flagKey     = "key"
	flagOutput  = "output"
	flagTimeout = "timeout"
	envPrefix   = "GOLDCRESTCTL"
)

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

const defaultTimeout = 30 * time.Second

// settings are the validated settings of all commands.
type settings struct {
	// servers are base URLs, in the order in which they are tried.
	servers []string
	// key is the secret that is sent as bearer token.
	key     string
	output  string
	timeout time.Duration
}

func addSettingsFlags(cmd *cobra.Command) {
	f := cmd.PersistentFlags()
	f.StringArray(flagServer, []string{"http://127.0.0.1:8080"}, "URL of a daemon; repeatable (separated by commas in the environment variable), the next one is tried only if nothing was sent")
	f.String(flagKey, "", "secret of the team's key; prefer the environment variable GOLDCRESTCTL_KEY")
	f.StringP(flagOutput, "o", outputTable, "output format: table or json")
	f.Duration(flagTimeout, defaultTimeout, "timeout of a call")
	completion := cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp)
	if err := cmd.RegisterFlagCompletionFunc(flagOutput, completion); err != nil {
		panic(err)
	}
}

// load reads and checks all settings; flags take precedence over the environment.
func (s *settings) load(cmd *cobra.Command) error {
	v := viper.New()
	v.SetEnvPrefix(envPrefix)
	v.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	v.AutomaticEnv()
	for _, name := range []string{flagServer, flagKey, flagOutput, flagTimeout} {
		if err := v.BindPFlag(name, cmd.Flags().Lookup(name)); err != nil {
			return err
		}
	}
	s.output = v.GetString(flagOutput)
	if !slices.Contains([]string{outputTable, outputJSON}, s.output) {
		return settingError(flagOutput, s.output, "table or json")
	}
	timeout, err := time.ParseDuration(v.GetString(flagTimeout))
	if err != nil || timeout <= 0 {
		return settingError(flagTimeout, v.GetString(flagTimeout), "a duration such as 30s")
	}
	s.timeout = timeout
	s.key = v.GetString(flagKey)
	if strings.ContainsAny(s.key, " \t\r\n") {
		return fmt.Errorf("--%s or %s_KEY: the key contains white space", flagKey, envPrefix)
	}
	return s.loadServers(v.GetStringSlice(flagServer))
}

// loadServers parses the URLs of the daemons; http:// may be omitted.
func (s *settings) loadServers(values []string) error {
	s.servers = nil
	for _, value := range values {
		for text := range strings.SplitSeq(value, ",") {
			if text == "" {
				continue
			}
			if !strings.Contains(text, "://") {
				text = "http://" + text
			}
			u, err := url.Parse(text)
			if err != nil || u.Scheme != "http" || u.Host == "" || strings.Trim(u.Path, "/") != "" {
				return settingError(flagServer, text, "a URL such as http://10.0.0.1:8080")
			}
			s.servers = append(s.servers, u.Scheme+"://"+u.Host)
		}
	}
	if len(s.servers) == 0 {
		return settingError(flagServer, "", "a URL such as http://10.0.0.1:8080")
	}
	return nil
}

// settingError returns the error for a setting whose value is not allowed.
func settingError(flag, value, allowed string) error {
	variable := envPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
	return fmt.Errorf("--%s or %s: %q is not allowed; use %s", flag, variable, value, allowed)
}
