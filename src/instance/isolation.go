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
	isolationEvery = 100 * time.Millisecond
	// contactTime is how long the store may be silent before peers are asked.
	contactTime = 500 * time.Millisecond
	pingTime    = 300 * time.Millisecond
	// peersPinged is how many instances of other data centres are asked.
	peersPinged = 4
	// rotationTime is how long the balancer takes to send callers elsewhere: it
	// asks each second and acts at the second miss.
	rotationTime = 2200 * time.Millisecond
)

// isolation is whether this instance, or its data centre, is cut off from the
// store and all other data centres.
type isolation struct {
	clock sesamepitch.Clock

	mu sync.Mutex
	// since is when the isolation began; zero while there is none.
	since time.Time
	// reached ends when an isolation begins.
	reached context.Context
	lost    context.CancelFunc
}

func newIsolation(clock sesamepitch.Clock) *isolation {
	i := &isolation{clock: clock}
	i.reached, i.lost = context.WithCancel(context.Background())
	return i
}

// set notes whether the instance is isolated and tells whether that is new.
func (i *isolation) set(isolated bool) (changed bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.since.IsZero() != isolated {
		return false
	}
	if isolated {
		i.since = i.clock.Now()
		i.lost()
		return true
	}
	i.since = time.Time{}
	i.reached, i.lost = context.WithCancel(context.Background())
	return true
}

func (i *isolation) isSet() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.since.IsZero()
}

// StoreReachable implements sesamepitch.Reach.
func (i *isolation) StoreReachable() (context.Context, time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.since.IsZero() {
		return i.reached, 0
	}
	return i.reached, max(rotationTime-i.clock.Now().Sub(i.since), 0)
}

// watchIsolation finds out whether this instance, or its data centre, is cut
// off from all others. Callers are then better served elsewhere, so the
// balancer is told that the instance is not ready. While merely the store is
// down, other data centres still answer and the instance stays ready.
func (i *Instance) watchIsolation(ctx context.Context) error {
	return supervisor.Every(ctx, i.clock, isolationEvery, func(ctx context.Context) {
		age := i.clock.Now().Sub(i.store.LastContact())
		isolated := age > contactTime && i.gateway.Ready() && i.noneAnswers(ctx)
		if i.isolation.set(isolated) {
			i.log.Info("isolation", "isolated", isolated, "contact_age_ms", age.Milliseconds())
		}
	})
}

// noneAnswers tells whether instances of other data centres are known and none
// of those asked answers.
func (i *Instance) noneAnswers(ctx context.Context) bool {
	addresses := i.members.RemotePeers()
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	addresses = addresses[:min(peersPinged, len(addresses))]
	answers := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { answers <- i.store.Ping(ctx, address, pingTime) }()
	}
	answered := false
	for range addresses {
		answered = <-answers || answered
	}
	return len(addresses) > 0 && !answered
}
