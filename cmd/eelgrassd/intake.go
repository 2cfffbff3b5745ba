package main

import (
	"log/slog"
	"maps"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/intake"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/settings"
)

// memoryLimitFraction is the part of the process's memory limit that is set as the soft limit of
// the Go runtime.
const memoryLimitFraction = 0.6

// limitMemory sets the soft limit of the Go runtime, if the settings limit the memory.
func limitMemory(s settings.Settings) {
	if s.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryLimitMB<<20)))
	}
}

// newBudget returns what bounds the memory and the descriptors that clients take.
func newBudget(s settings.Settings, m *metric.Registry, log *event.Log) *intake.Budget {
	limits := intake.Limits{
		Memory: s.MemoryLimitMB << 20, Budget: s.BudgetMB << 20, Descriptors: s.Descriptors,
		Connections: s.Connections, PerAddress: s.ConnectionsPerAddress, PerWorkspace: s.ConnectionsPerWorkspace, Fields: s.MaxFields,
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limits.Descriptors == 0 {
		limits.Descriptors = int(min(limit.Cur, maxDescriptors))
	}
	return intake.NewBudget(limits, time.Duration(s.StallTimeout), func(turned map[intake.Reason]int) {
		var attributes []slog.Attr
		for _, why := range slices.Sorted(maps.Keys(turned)) {
			m.Count("turned_away", int64(turned[why]), "reason", string(why))
			attributes = append(attributes, slog.Int(string(why), turned[why]))
		}
		log.Write(event.ClientsTurnedAway, attributes...)
	})
}

// maxDescriptors bounds the limit of descriptors that is taken from the operating system.
const maxDescriptors = 1 << 20

// protect limits the heads that a server reads, and makes it serve the connections of a listener.
func protect(server *http.Server, d *intake.Listener, s settings.Settings) {
	server.MaxHeaderBytes = s.MaxHead
	server.ReadHeaderTimeout = time.Duration(s.HeadTimeout)
	d.Protect(server)
}

// listenAt opens a listener at the address, whose connections come through the listener.
func listenAt(address string, d *intake.Listener) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return d.Listen(l), nil
}
