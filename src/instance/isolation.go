package instance

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/supervisor"
)

const (
	isolationInterval = 100 * time.Millisecond
	// maxContactAge is how long the store may be unresponsive before instances of
	// other data centres are pinged.
	maxContactAge = 500 * time.Millisecond
	pingTimeout   = 300 * time.Millisecond
	// maxPinged is the maximum number of instances pinged in one check.
	maxPinged = 4
	// rerouteTime is how long the load balancer takes to send callers elsewhere: it
	// checks readiness every second and acts on the second failure.
	rerouteTime = 2200 * time.Millisecond
)

// isolation is the state of an instance that may be isolated: cut off, alone or
// with its data centre, from the store and all other data centres.
type isolation struct {
	clock sesamepitch.Clock

	mu sync.Mutex
	// since is the start of the isolation; zero if the instance is not isolated.
	since time.Time
	// connected is cancelled when an isolation begins.
	connected  context.Context
	disconnect context.CancelFunc
}

func newIsolation(clock sesamepitch.Clock) *isolation {
	i := &isolation{clock: clock}
	i.connected, i.disconnect = context.WithCancel(context.Background())
	return i
}

// set records whether the instance is isolated and reports whether that changed.
func (i *isolation) set(isolated bool) (changed bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.since.IsZero() != isolated {
		return false
	}
	if isolated {
		i.since = i.clock.Now()
		i.disconnect()
		return true
	}
	i.since = time.Time{}
	i.connected, i.disconnect = context.WithCancel(context.Background())
	return true
}

func (i *isolation) isIsolated() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.since.IsZero()
}

// StoreReachable implements sesamepitch.Connectivity.
func (i *isolation) StoreReachable() (context.Context, time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.since.IsZero() {
		return i.connected, 0
	}
	return i.connected, max(rerouteTime-i.clock.Now().Sub(i.since), 0)
}

// watchIsolation checks periodically whether this instance is isolated. An
// isolated instance reports that it is not ready, so that the load balancer
// sends callers elsewhere. If only the store is down, instances of other data
// centres still answer and this one stays ready.
func (i *Instance) watchIsolation(ctx context.Context) error {
	return supervisor.Every(ctx, i.clock, isolationInterval, func(ctx context.Context) {
		contact := i.store.LastContact()
		age := i.clock.Now().Sub(contact)
		isolated := age > maxContactAge && i.gateway.Ready() && i.noPeerAnswers(ctx, contact)
		if i.isolation.set(isolated) {
			i.log.Info("isolation", "isolated", isolated, "contact_age_ms", age.Milliseconds())
		}
	})
}

// noPeerAnswers reports whether instances of other data centres were live at the
// last contact with the store and none of those pinged answers.
func (i *Instance) noPeerAnswers(ctx context.Context, lastContact time.Time) bool {
	addresses := i.members.RemotePeers(lastContact)
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	addresses = addresses[:min(maxPinged, len(addresses))]
	answers := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { answers <- i.store.Ping(ctx, address, pingTimeout) }()
	}
	answered := false
	for range addresses {
		answered = <-answers || answered
	}
	return len(addresses) > 0 && !answered
}
