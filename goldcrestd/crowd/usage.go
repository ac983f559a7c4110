package crowd

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// sampleInterval is the interval at which the open descriptors and the unread bytes of a process are counted.
const sampleInterval = 20 * time.Millisecond

// Usage is what a process uses, as the operating system counts it.
type Usage struct {
	pid   int
	ports map[string]bool
	// maxFDs is the largest number of open descriptors that was counted, and maxUnread the largest number of bytes that
	// were received and not read.
	maxFDs    atomic.Int64
	maxUnread atomic.Int64
	stop      chan struct{}
	stopped   chan struct{}
}

// Watch counts the descriptors and the unread bytes of a process with the given listeners until Stop is called.
func Watch(pid int, addrs map[string]string) *Usage {
	u := &Usage{pid: pid, ports: map[string]bool{}, stop: make(chan struct{}), stopped: make(chan struct{})}
	for _, addr := range addrs {
		_, port, _ := net.SplitHostPort(addr)
		n, _ := strconv.Atoi(port)
		u.ports[fmt.Sprintf("%04X", n)] = true
	}
	go u.run()
	return u
}

func (u *Usage) run() {
	defer close(u.stopped)
	for {
		u.maxUnread.Store(max(u.maxUnread.Load(), u.unreadBytes()))
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", u.pid)); err == nil {
			u.maxFDs.Store(max(u.maxFDs.Load(), int64(len(entries))))
		}
		select {
		case <-u.stop:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// Stop ends the counting.
func (u *Usage) Stop() {
	close(u.stop)
	<-u.stopped
}

// MaxFDs returns the largest number of open descriptors that was counted.
func (u *Usage) MaxFDs() int { return int(u.maxFDs.Load()) }

// MaxUnread returns the largest number of bytes in the receive queues of the listeners' connections, which the platform
// counts as memory of the process.
func (u *Usage) MaxUnread() cluster.Bytes { return cluster.Bytes(u.maxUnread.Load()) }

// unreadBytes returns the number of bytes in the receive queues of the connections to the process's listeners.
func (u *Usage) unreadBytes() int64 {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	sum := int64(0)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 5 {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		_, queue, _ := strings.Cut(fields[4], ":")
		// The queue of a listening socket (state 0A) counts connections.
		if n, err := strconv.ParseInt(queue, 16, 64); err == nil && u.ports[port] && fields[3] != "0A" {
			sum += n
		}
	}
	return sum
}

// PeakMemory returns the largest resident size of a process so far, or zero if it has ended.
func PeakMemory(pid int) cluster.Bytes {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(data), "VmHWM:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.ParseInt(fields[0], 10, 64)
	return cluster.Bytes(kb) * cluster.KiB
}
