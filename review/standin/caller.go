package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
)

type callerKey struct{}

// callerOf returns the machine whose daemon has opened the other end of an accepted connection, and nil if it is not one
// of the daemons. It finds the socket of that end in the kernel's table and looks for it among the daemons' files.
func (e *env) callerOf(c net.Conn) *machine {
	remote, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return nil
	}
	local, ok := c.LocalAddr().(*net.TCPAddr)
	if !ok {
		return nil
	}
	inode := socketInode(remote, local)
	if inode == "" {
		return nil
	}
	for _, m := range e.machines {
		pid := m.pid()
		if pid == 0 {
			continue
		}
		dir := fmt.Sprintf("/proc/%d/fd", pid)
		files, err := os.ReadDir(dir)
		if err != nil {
			continue
		}
		for _, f := range files {
			if target, err := os.Readlink(filepath.Join(dir, f.Name())); err == nil && target == "socket:["+inode+"]" {
				return m
			}
		}
	}
	return nil
}

// socketInode returns the inode of the socket with the given two addresses, and an empty string if there is none.
func socketInode(local, remote *net.TCPAddr) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	from, to := tableAddress(local), tableAddress(remote)
	for line := range strings.Lines(string(table)) {
		if fields := strings.Fields(line); len(fields) > 9 && fields[1] == from && fields[2] == to {
			return fields[9]
		}
	}
	return ""
}

// tableAddress returns an IPv4 address as the kernel's table shows it, on a machine with the low byte first.
func tableAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

// withCaller adds the machine that has opened a connection to the context of its requests.
func (e *env) withCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, e.callerOf(c))
}

// caller returns the machine that sent a request; nil if it is not one of the daemons.
func caller(r *http.Request) *machine {
	m, _ := r.Context().Value(callerKey{}).(*machine)
	return m
}
