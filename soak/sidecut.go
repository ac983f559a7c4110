package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/vishvananda/netlink"
)

const (
	// minSideCut and maxSideCut limit how long a side is cut off: beyond the leases that its owner and its successor count.
	minSideCut = 5 * time.Second
	maxSideCut = 10 * time.Second
	// sideCutGap is the longest time between two cuts.
	sideCutGap = 4 * time.Second
)

const (
	// longTaskDuration is longer than the leases that a cut lets expire, so that a task may still run on a side that is cut
	// off when the other side starts it again.
	longTaskDuration = 9 * time.Second
	// longJobGap is the longest time between two jobs with such tasks.
	longJobGap = 2 * time.Second
)

// newLongJobs returns the jobs of a run whose tasks run for long. They are no gangs, whose progress workers don't report.
func newLongJobs(rnd *rand.Rand, length time.Duration) []*job {
	var jobs []*job
	for start := time.Duration(0); start < length; start += time.Duration(rnd.Int64N(int64(longJobGap))) {
		jobs = append(jobs, &job{
			id: fmt.Sprintf("%016x", rnd.Uint64()), prefix: queuePrefix, submitAfter: start, long: true,
			steps: []step{{tasks: 1 + rnd.IntN(4), milliCPU: plainTaskMilliCPU / 2}},
		})
	}
	return jobs
}

// side is a set of daemons and runners that reach one another and nothing else, neither the store nor the other side.
type side struct{ daemons, runners []int }

// newSideCuts returns random cuts of a side: a zone, most of the daemons, or one daemon with some of the runners.
func newSideCuts(rnd *rand.Rand, length time.Duration, daemons, runners int) []fault {
	var list []fault
	for start := time.Second; start < length; {
		s := side{daemons: rnd.Perm(daemons)[:1+rnd.IntN(max(1, daemons-1))], runners: rnd.Perm(runners)[:rnd.IntN(runners)]}
		slices.Sort(s.daemons)
		slices.Sort(s.runners)
		duration := minSideCut + time.Duration(rnd.Int64N(int64(maxSideCut-minSideCut)))
		list = append(list, fault{start, fmt.Sprintf("daemons %v and runners %v lose the store and all others for %s", s.daemons, s.runners, duration), func(d *deployment) {
			d.cut.Store(&s)
			d.wakeProxies()
			time.Sleep(duration)
			if d.cut.CompareAndSwap(&s, nil) { // the next cut may have begun
				d.wakeProxies()
			}
		}})
		start += duration + time.Duration(rnd.Int64N(int64(sideCutGap)))
	}
	return list
}

// wakeProxies makes all connections check again whether they are cut.
func (d *deployment) wakeProxies() {
	for _, p := range d.processes {
		p.storeProxy.wake()
		p.peerProxy.wake()
	}
	for _, w := range d.workers {
		w.proxy.wake()
	}
}

// cutFromStore, cutFromDaemon and cutFromRunner return whether a daemon has no path now to the store, to another daemon or
// to a runner. The daemon is noSource if the source of a connection is not known.
func (d *deployment) cutFromStore(daemon int) bool {
	s := d.cut.Load()
	return s != nil && slices.Contains(s.daemons, daemon)
}

func (d *deployment) cutFromDaemon(daemon, other int) bool {
	s := d.cut.Load()
	return s != nil && slices.Contains(s.daemons, daemon) != slices.Contains(s.daemons, other)
}

func (d *deployment) cutFromRunner(daemon, runner int) bool {
	s := d.cut.Load()
	return s != nil && slices.Contains(s.daemons, daemon) != slices.Contains(s.runners, runner)
}

// sourceOf returns the index of the daemon that has opened a connection, and noSource if it is none or has ended.
func (d *deployment) sourceOf(conn net.Conn) int {
	socket, err := netlink.SocketGet(conn.RemoteAddr(), conn.LocalAddr())
	if err != nil {
		return noSource
	}
	for i, p := range d.processes {
		if holdsSocket(int(p.pid.Load()), socket.INode) {
			return i
		}
	}
	return noSource
}

// holdsSocket reports whether a process has a socket open.
func holdsSocket(pid int, inode uint32) bool {
	dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	return slices.ContainsFunc(entries, func(e os.DirEntry) bool {
		target, err := os.Readlink(filepath.Join(dir, e.Name()))
		return err == nil && target == fmt.Sprintf("socket:[%d]", inode)
	})
}
