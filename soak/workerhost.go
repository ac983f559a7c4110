package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/goldcrestshift/goldcrestshift/platform/platformtest"
)

// workerHost is a worker with its proxy and its entry in the platform's list.
type workerHost struct {
	worker *platformtest.Worker
	flaky  *platformtest.FlakyWorker
	proxy  *proxy
	store  *platformtest.Store

	// listFault is held by the fault that changes the entry in the list; another one
	// is skipped meanwhile.
	listFault sync.Mutex

	mu sync.Mutex
	// listed means that the worker has an entry, running that it has not exited.
	listed  bool
	running bool
}

func workerID(index int) string { return fmt.Sprintf("i-%d", index) }

// update changes the state of a worker and its entry accordingly.
func (h *workerHost) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
	if h.listed {
		h.store.Put("servers", "", h.worker.ID, h.worker.StoreEntry(serviceName, h.proxy.addr()))
	} else {
		h.store.Remove("servers", "", h.worker.ID)
	}
}

// startEarlier lists the worker as one that has run for a time.
func (h *workerHost) startEarlier(age time.Duration) {
	h.update(func() {
		h.worker.SetAge(age)
		h.running, h.listed = true, true
	})
}

// start starts the worker anew and lists it.
func (h *workerHost) start() {
	h.update(func() {
		h.worker.Restart()
		h.running, h.listed = true, true
	})
}

// restart restarts the worker unless it has exited; its entry stays listed or absent.
func (h *workerHost) restart() {
	h.update(func() {
		if h.running {
			h.worker.Restart()
		}
	})
}

// exit ends the worker; its entry stays.
func (h *workerHost) exit() {
	h.update(func() {
		h.worker.Exit()
		h.running = false
	})
}

func (h *workerHost) drain() { h.update(h.worker.SetDraining) }

func (h *workerHost) setListed(listed bool) { h.update(func() { h.listed = listed }) }
