package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

func (c *config) newTraceCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "trace ID [FILE...]",
		Short: "Print the timeline of a job from the logs of several daemons",
		Long: `Trace reads the logs of one or more daemons, from files or from standard input,
and prints the lines about a job ordered by time. Text before the JSON object of
a line, such as the name of its source, is ignored.`,
		Example: "  goldcrestctl trace 5c0e7a21d94b36f8 entry-1.log entry-2.log",
		Args:    cobra.MinimumNArgs(1),
		RunE:    c.runTraceCmd,
	}
}

func (c *config) runTraceCmd(_ *cobra.Command, args []string) error {
	var events []traceEvent
	for _, name := range args[1:] {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		found, err := readTrace(f, args[0])
		_ = f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		events = append(events, found...)
	}
	if len(args) == 1 {
		found, err := readTrace(c.stdin, args[0])
		if err != nil {
			return err
		}
		events = found
	}
	slices.SortStableFunc(events, func(a, b traceEvent) int { return a.timestamp.Compare(b.timestamp) })
	for _, e := range events {
		if _, err := fmt.Fprintln(c.stdout, e.format(events[0].timestamp)); err != nil {
			return err
		}
	}
	return nil
}

// traceEvent is a log line about a job.
type traceEvent struct {
	timestamp time.Time
	vm        string
	message   string
	fields    map[string]json.RawMessage
}

// maxLogLine is the maximum length of a log line; a longer one is an error.
const maxLogLine = 1 << 20

// readTrace returns the log lines that contain a job's identifier; other lines and
// lines in another format are skipped.
func readTrace(r io.Reader, id string) ([]traceEvent, error) {
	var events []traceEvent
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		if !bytes.Contains(lines.Bytes(), []byte(id)) {
			continue
		}
		if e, ok := parseTraceLine(lines.Bytes()); ok {
			events = append(events, e)
		}
	}
	return events, lines.Err()
}

// parseTraceLine parses a log line and returns false if it has another format.
func parseTraceLine(line []byte) (traceEvent, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return traceEvent{}, false
	}
	var e traceEvent
	if json.Unmarshal(line[start:], &e.fields) != nil {
		return traceEvent{}, false
	}
	var ms int64
	if json.Unmarshal(e.fields["time"], &ms) != nil || json.Unmarshal(e.fields["message"], &e.message) != nil {
		return traceEvent{}, false
	}
	e.timestamp = time.UnixMilli(ms)
	if json.Unmarshal(e.fields["vm"], &e.vm) != nil {
		e.vm = "-"
	}
	for _, name := range []string{"time", "message", "vm", "level"} {
		delete(e.fields, name)
	}
	return e, true
}

// format returns the event as a line with its time and the time since start.
func (e *traceEvent) format(start time.Time) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %+8.3fs %s %s", e.timestamp.UTC().Format("15:04:05.000"), e.timestamp.Sub(start).Seconds(), e.vm, e.message)
	for _, name := range slices.SortedFunc(maps.Keys(e.fields), cmp.Compare[string]) {
		fmt.Fprintf(&b, " %s=%s", name, e.fields[name])
	}
	return b.String()
}
