package jobquota

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Guards against memory that is given beyond the limit, to one team alone, or never given back, and against a refusal of a
// job that is known.
func TestLedgerScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/ledger.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, script := range strings.Split(string(data), "\n== ")[1:] {
		name, text, _ := strings.Cut(script, "\n")
		t.Run(name, func(t *testing.T) { runLedgerScript(t, text) })
	}
}

func runLedgerScript(t *testing.T, text string) {
	is := is.New(t)
	ledger := New(400_000)
	account := ledger.Open()
	for line := range strings.Lines(text) {
		command, want, _ := strings.Cut(strings.TrimSpace(line), " > ")
		f := strings.Fields(command)
		if len(f) == 0 {
			continue
		}
		number := func(i int) int64 {
			n, err := strconv.ParseInt(f[i], 10, 64)
			is.NoErr(err)
			return n
		}
		if f[0] == "held" {
			held, _ := ledger.Usage()
			is.Equal(held, cluster.Bytes(number(1)))
			continue
		}
		now := time.Unix(1000, 0).Add(time.Duration(number(0)) * time.Millisecond)
		id, team, size := cluster.JobName(f[2]), cluster.TeamName(f[3]), cluster.Bytes(number(4))
		switch f[1] {
		case "reserve":
			ok, returnIn := account.Reserve(now, id, team, size)
			got := "ok"
			if !ok {
				got = strconv.FormatInt(returnIn.Milliseconds(), 10)
			}
			if got != want {
				t.Errorf("%s: got %s", strings.TrimSpace(line), got)
			}
		case "set":
			account.Set(now, id, team, size)
		case "grow":
			account.Grow(now, id, size)
		case "remove":
			account.Remove(now, id)
		case "close":
			account.Close(now)
		default:
			t.Fatalf("unknown operation: %s", line)
		}
	}
}
