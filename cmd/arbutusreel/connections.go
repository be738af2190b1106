package main

import (
	"expvar"
	"math"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"arbutusreel/acceptor"
	"arbutusreel/intake"
)

const (
	// defaultDescriptors and defaultMemoryBytes apply if the process has no limit of its own.
	defaultDescriptors = 4096
	maxDescriptors     = 1 << 20
	defaultMemoryBytes = 1 << 30
)

// newAcceptors returns the acceptors of the connections from clients and from peers, bounded by the limits of the process on open
// files and by its soft memory limit, and publishes their counts.
func newAcceptors(log zerolog.Logger) (clients, peers *acceptor.Acceptor) {
	descriptors, memory := defaultDescriptors, debug.SetMemoryLimit(-1)
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
		descriptors = int(min(limit.Cur, maxDescriptors))
	}
	if memory == math.MaxInt64 {
		memory = defaultMemoryBytes
	}
	clients = acceptor.New(intake.LimitsFor(descriptors, memory), log.With().Str("from", "clients").Logger(), time.Now)
	peers = acceptor.New(intake.PeerLimitsFor(descriptors, memory), log.With().Str("from", "peers").Logger(), time.Now)
	expvar.Publish("connections", expvar.Func(func() any { return clients.Counts() }))
	expvar.Publish("peerConnections", expvar.Func(func() any { return peers.Counts() }))
	return clients, peers
}
