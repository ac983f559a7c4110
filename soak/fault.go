package main

import (
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"syscall"
	"time"
)

// fault is one entry of a schedule; start is the time from the start of the run.
type fault struct {
	start  time.Duration
	name   string
	inject func(d *deployment)
}

const (
	// maxFaultDuration limits how long a fault lasts; seriesInterval is the time
	// between two faults of a series.
	maxFaultDuration = 4 * time.Second
	seriesInterval   = 700 * time.Millisecond
	// lateShare is the share of the transactions that the store executes late and without an answer during such a fault,
	// and minLateness and maxLateness bound by how much.
	lateShare   = 0.35
	minLateness = time.Second
	maxLateness = 6 * time.Second
	// removedAtOnce is the number of daemons that are removed at the same time, and removalInterval the longest time until
	// the next ones are.
	removedAtOnce   = 8
	removalInterval = 500 * time.Millisecond
	// maxLostReplies limits the replies of the store that one fault drops.
	maxLostReplies = 12
)

// newRand returns one of the random number sequences of a run.
func newRand(seed, sequence uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, sequence)) }

// newSchedule returns random faults for a run; several may overlap.
func newSchedule(rnd *rand.Rand, length time.Duration, daemons, workers int) []fault {
	var schedule []fault
	for start := time.Second; start < length; start += time.Duration(rnd.Int64N(int64(1500 * time.Millisecond))) {
		schedule = append(schedule, newFaults(rnd, start, daemons, workers)...)
	}
	return schedule
}

// newConnFault returns a fault in which a proxy blocks or delays the bytes of its
// connections for a time, in a random mode.
func newConnFault(rnd *rand.Rand, start, duration time.Duration, name string, getProxy func(*deployment) *proxy) fault {
	mode := proxyMode(1 + rnd.IntN(int(modeBlockAll)))
	return fault{start, fmt.Sprintf("%s: %s for %s", name, mode, duration), func(d *deployment) {
		getProxy(d).setMode(mode)
		time.Sleep(duration)
		getProxy(d).setMode(modeOpen)
	}}
}

// newPeerAndPartFaults returns random faults of the connections between daemons
// and of parts of the store. They use a separate random number sequence, so that
// the faults of newSchedule stay the same for a seed.
func newPeerAndPartFaults(rnd *rand.Rand, length time.Duration, daemons int) []fault {
	var list []fault
	for start := time.Second; start < length; start += time.Duration(rnd.Int64N(int64(4 * time.Second))) {
		duration := time.Duration(rnd.Int64N(int64(maxFaultDuration)))
		daemon := rnd.IntN(daemons)
		getPeerProxy := func(d *deployment) *proxy { return d.processes[daemon].peerProxy }
		switch rnd.IntN(3) {
		case 0:
			list = append(list, newConnFault(rnd, start, duration, fmt.Sprintf("other daemons and daemon %d", daemon), getPeerProxy))
		case 1:
			list = append(list, fault{start, fmt.Sprintf("connections of other daemons to daemon %d are reset", daemon), func(d *deployment) { getPeerProxy(d).resetConns() }})
		default:
			downGroups, salt := uint32(1+rnd.IntN(partGroups/2)), rnd.Uint32()
			list = append(list, fault{start, fmt.Sprintf("%d of %d parts of the store are down for %s", downGroups, partGroups, duration), func(d *deployment) {
				d.store.SetPartsUnreachable(func(part string) bool { return (crc32.ChecksumIEEE([]byte(part))^salt)%partGroups < downGroups })
				time.Sleep(duration)
				d.store.SetPartsUnreachable(nil)
			}})
		}
	}
	return list
}

// newLateTransactions returns faults in which the store loses calls and executes them seconds later.
func newLateTransactions(rnd *rand.Rand, length time.Duration) []fault {
	var list []fault
	for start := time.Second; start < length; start += maxFaultDuration + time.Duration(rnd.Int64N(int64(4*time.Second))) {
		duration := time.Duration(rnd.Int64N(int64(maxFaultDuration)))
		lateness := rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64()))
		list = append(list, fault{start, fmt.Sprintf("store loses calls and executes them late for %s", duration), func(d *deployment) {
			d.store.DelayTransactions(func() time.Duration {
				if lateness.Float64() >= lateShare {
					return 0
				}
				return minLateness + time.Duration(lateness.Int64N(int64(maxLateness-minLateness)))
			})
			time.Sleep(duration)
			d.store.DelayTransactions(nil)
		}})
	}
	return list
}

// newRemovals returns the faults that remove all but some of the daemons for good in the middle of a run, a few at a time,
// with SIGTERM or SIGKILL. Those that are left are chosen at random.
func newRemovals(rnd *rand.Rand, length time.Duration, daemons, remaining int) []fault {
	if remaining == 0 {
		return nil
	}
	var list []fault
	start := length / 3
	for i, n := range rnd.Perm(daemons)[:daemons-remaining] {
		sig := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[rnd.IntN(2)]
		if i%removedAtOnce == 0 {
			start += time.Duration(rnd.Int64N(int64(removalInterval)))
		}
		list = append(list, fault{start, fmt.Sprintf("remove daemon %d (%s)", n, sig), func(d *deployment) { d.processes[n].remove(sig) }})
	}
	return list
}

// partGroups is the number of groups into which the parts of the store are hashed;
// at most half of the groups are down at once.
const partGroups = 8

// newFaults returns a random fault, or a series of the same fault on several daemons.
func newFaults(rnd *rand.Rand, start time.Duration, daemons, workers int) []fault {
	duration := time.Duration(rnd.Int64N(int64(maxFaultDuration)))
	daemon, worker := rnd.IntN(daemons), rnd.IntN(workers)
	single := func(name string, inject func(*deployment)) []fault { return []fault{{start, name, inject}} }
	series := func(name string, inject func(*process)) []fault {
		var list []fault
		for i := range 1 + rnd.IntN(daemons) {
			n := (daemon + i) % daemons
			list = append(list, fault{start + time.Duration(i)*seriesInterval, fmt.Sprintf("%s daemon %d", name, n), func(d *deployment) { inject(d.processes[n]) }})
		}
		return list
	}
	connFault := func(name string, getProxy func(*deployment) *proxy) []fault {
		return []fault{newConnFault(rnd, start, duration, name, getProxy)}
	}
	switch rnd.IntN(11) {
	case 0:
		return series("kill", func(p *process) { p.signal(syscall.SIGKILL) })
	case 1:
		return series("terminate", (*process).terminate)
	case 2:
		return series("reload", func(p *process) { p.signal(syscall.SIGHUP) })
	case 3:
		return single(fmt.Sprintf("pause daemon %d for %s", daemon, duration), func(d *deployment) {
			d.processes[daemon].signal(syscall.SIGSTOP)
			time.Sleep(duration)
			d.processes[daemon].signal(syscall.SIGCONT)
		})
	case 4:
		return single(fmt.Sprintf("store is down for %s", duration), func(d *deployment) {
			d.store.SetUnavailable(true)
			time.Sleep(duration)
			d.store.SetUnavailable(false)
		})
	case 5:
		n := 1 + rnd.IntN(maxLostReplies)
		return single(fmt.Sprintf("store loses %d answers", n), func(d *deployment) { d.store.LoseReplies(n) })
	case 6:
		return single("store forgets its history", func(d *deployment) { d.store.DropHistory() })
	case 7:
		return single(fmt.Sprintf("runner %d starts anew", worker), func(d *deployment) { d.workers[worker].restart() })
	case 8:
		return single(fmt.Sprintf("connections of daemon %d to the store and of runner %d are reset", daemon, worker), func(d *deployment) {
			d.processes[daemon].storeProxy.resetConns()
			d.workers[worker].proxy.resetConns()
		})
	case 9:
		return connFault(fmt.Sprintf("daemon %d and store", daemon), func(d *deployment) *proxy { return d.processes[daemon].storeProxy })
	}
	return connFault(fmt.Sprintf("runner %d", worker), func(d *deployment) *proxy { return d.workers[worker].proxy })
}
