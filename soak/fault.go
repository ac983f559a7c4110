package main

import (
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"syscall"
	"time"
)

// fault is one entry of a schedule.
type fault struct {
	at   time.Duration
	name string
	do   func(d *deployment)
}

const (
	// longestFault bounds how long a fault lasts, seriesPause the pause in a series.
	longestFault = 4 * time.Second
	seriesPause  = 700 * time.Millisecond
	// lostAnswers bounds the answers of the store that one fault loses.
	lostAnswers = 12
)

// seeded returns one of the sequences of random numbers of a run.
func seeded(seed, sequence uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, sequence)) }

// newSchedule draws the faults of a run; several may overlap.
func newSchedule(rnd *rand.Rand, length time.Duration, daemons, runners int) []fault {
	var schedule []fault
	for at := time.Second; at < length; at += time.Duration(rnd.Int64N(int64(1500 * time.Millisecond))) {
		schedule = append(schedule, newFaults(rnd, at, daemons, runners)...)
	}
	return schedule
}

// newCut draws how a proxy holds up or delays bytes for a time.
func newCut(rnd *rand.Rand, at, span time.Duration, name string, p func(*deployment) *proxy) fault {
	kind := passage(1 + rnd.IntN(int(passNothing)))
	return fault{at, fmt.Sprintf("%s: %s for %s", name, kind, span), func(d *deployment) {
		p(d).set(kind)
		time.Sleep(span)
		p(d).set(passOpen)
	}}
}

// newFurtherFaults draws faults between daemons and of parts of the store. They
// have random numbers of their own, so that seeds keep the faults of newSchedule.
func newFurtherFaults(rnd *rand.Rand, length time.Duration, daemons int) []fault {
	var list []fault
	for at := time.Second; at < length; at += time.Duration(rnd.Int64N(int64(4 * time.Second))) {
		span := time.Duration(rnd.Int64N(int64(longestFault)))
		n := rnd.IntN(daemons)
		peers := func(d *deployment) *proxy { return d.processes[n].peers }
		switch rnd.IntN(3) {
		case 0:
			list = append(list, newCut(rnd, at, span, fmt.Sprintf("other daemons and daemon %d", n), peers))
		case 1:
			list = append(list, fault{at, fmt.Sprintf("connections of other daemons to daemon %d are reset", n), func(d *deployment) { peers(d).reset() }})
		default:
			share, salt := uint32(1+rnd.IntN(downParts/2)), rnd.Uint32()
			list = append(list, fault{at, fmt.Sprintf("%d of %d parts of the store are down for %s", share, downParts, span), func(d *deployment) {
				d.store.SetPartsDown(func(part string) bool { return (crc32.ChecksumIEEE([]byte(part))^salt)%downParts < share })
				time.Sleep(span)
				d.store.SetPartsDown(nil)
			}})
		}
	}
	return list
}

// downParts divides the parts of the store; half of them at most are down.
const downParts = 8

// newFaults draws a fault, or a series of one kind on several daemons.
func newFaults(rnd *rand.Rand, at time.Duration, daemons, runners int) []fault {
	span := time.Duration(rnd.Int64N(int64(longestFault)))
	daemon, runner := rnd.IntN(daemons), rnd.IntN(runners)
	one := func(name string, do func(*deployment)) []fault { return []fault{{at, name, do}} }
	series := func(name string, do func(*process)) []fault {
		var list []fault
		for i := range 1 + rnd.IntN(daemons) {
			n := (daemon + i) % daemons
			list = append(list, fault{at + time.Duration(i)*seriesPause, fmt.Sprintf("%s daemon %d", name, n), func(d *deployment) { do(d.processes[n]) }})
		}
		return list
	}
	cut := func(name string, p func(*deployment) *proxy) []fault {
		return []fault{newCut(rnd, at, span, name, p)}
	}
	switch rnd.IntN(11) {
	case 0:
		return series("kill", func(p *process) { p.signal(syscall.SIGKILL) })
	case 1:
		return series("terminate", (*process).terminate)
	case 2:
		return series("reload", func(p *process) { p.signal(syscall.SIGHUP) })
	case 3:
		return one(fmt.Sprintf("pause daemon %d for %s", daemon, span), func(d *deployment) {
			d.processes[daemon].signal(syscall.SIGSTOP)
			time.Sleep(span)
			d.processes[daemon].signal(syscall.SIGCONT)
		})
	case 4:
		return one(fmt.Sprintf("store is down for %s", span), func(d *deployment) {
			d.store.SetDown(true)
			time.Sleep(span)
			d.store.SetDown(false)
		})
	case 5:
		n := 1 + rnd.IntN(lostAnswers)
		return one(fmt.Sprintf("store loses %d answers", n), func(d *deployment) { d.store.LoseAnswers(n) })
	case 6:
		return one("store forgets its history", func(d *deployment) { d.store.Forget() })
	case 7:
		return one(fmt.Sprintf("runner %d starts anew", runner), func(d *deployment) { d.restartRunner(runner) })
	case 8:
		return one(fmt.Sprintf("connections of daemon %d to the store and of runner %d are reset", daemon, runner), func(d *deployment) {
			d.processes[daemon].store.reset()
			d.proxies[runner].reset()
		})
	case 9:
		return cut(fmt.Sprintf("daemon %d and store", daemon), func(d *deployment) *proxy { return d.processes[daemon].store })
	}
	return cut(fmt.Sprintf("runner %d", runner), func(d *deployment) *proxy { return d.proxies[runner] })
}
