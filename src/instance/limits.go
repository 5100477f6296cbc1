package instance

import (
	"context"
	"net"
	"time"

	"sesamepitch/src/caller"
	"sesamepitch/src/supervisor"
)

const (
	// reservedDescriptors are the descriptors that sockets don't get.
	reservedDescriptors = 200
	// callerDescriptors and peerDescriptors are the parts of the other ones for callers'
	// connections and for those that other instances open. The rest is for connections
	// that this instance opens.
	callerDescriptors = 0.5
	peerDescriptors   = 0.2
	// maxControlConns is the number of connections for readiness checks and for metrics,
	// maxControlHead the limit of their heads in bytes.
	maxControlConns = 64
	maxControlHead  = 16 << 10
	// fullInterval is the time between log lines about what is full.
	fullInterval = 4 * time.Second
)

// descriptorsFor returns a part of the descriptors that sockets get; zero, for no limit,
// if their number is not set.
func descriptorsFor(descriptors int, part float64) int {
	if descriptors <= 0 {
		return 0
	}
	return max(1, int(part*float64(descriptors-reservedDescriptors)))
}

// callerListener returns the listener for callers.
func (i *Instance) callerListener(from net.Listener) *caller.Listener {
	return caller.NewListener(i.clock, from, i.memory.Connections(),
		caller.WithHeadLimit(func() int { return i.gateway.Limits().HeaderBytes }),
		caller.WithMaxConnections(descriptorsFor(i.settings.Descriptors, callerDescriptors)))
}

// controlListener returns a listener for readiness checks or metrics.
func (i *Instance) controlListener(from net.Listener) *caller.Listener {
	return caller.NewListener(i.clock, from, i.memory.Control(),
		caller.WithHeadLimit(func() int { return maxControlHead }),
		caller.WithMaxConnections(maxControlConns))
}

// watchMemory logs the shares of the memory that refused something, and how many callers'
// connections made room for others.
func (i *Instance) watchMemory(ctx context.Context) error {
	refused := map[string]int64{}
	var evicted, turnedAway int64
	return supervisor.Every(ctx, i.clock, fullInterval, func(context.Context) {
		for _, share := range i.memory.Shares() {
			if now := share.Refused(); now != refused[share.Name()] {
				i.log.Info("memory share full", "share", share.Name(), "refused", now-refused[share.Name()], "held", share.Held(), "limit", share.Limit())
				refused[share.Name()] = now
			}
		}
		if i.callers.Evicted() != evicted || i.callers.Refused() != turnedAway {
			i.log.Info("callers' connections closed to make room", "evicted", i.callers.Evicted()-evicted, "turned_away", i.callers.Refused()-turnedAway, "open", i.callers.Open())
			evicted, turnedAway = i.callers.Evicted(), i.callers.Refused()
		}
	})
}
