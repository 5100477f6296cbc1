package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"sesamepitch/src/supervisor"
)

const (
	isolationEvery = 250 * time.Millisecond
	// contactTime is how long the store may be silent before peers are asked.
	contactTime = 800 * time.Millisecond
	pingTime    = 400 * time.Millisecond
	// peersPinged is how many instances of other data centres are asked.
	peersPinged = 4
)

// watchIsolation finds out whether this instance, or its data centre, is cut
// off from all others. Callers are then better served elsewhere, so the
// balancer is told that the instance is not ready. While merely the store is
// down, other data centres still answer and the instance stays ready.
func (i *Instance) watchIsolation(ctx context.Context) error {
	return supervisor.Every(ctx, i.clock, isolationEvery, func(ctx context.Context) {
		age := i.clock.Now().Sub(i.store.Contact())
		isolated := age > contactTime && i.gateway.Ready() && i.noneAnswers(ctx)
		if i.isolated.Swap(isolated) != isolated {
			i.log.Info("isolation", "isolated", isolated, "contact_age_ms", age.Milliseconds())
		}
	})
}

// noneAnswers tells whether instances of other data centres are known and none
// of those asked answers.
func (i *Instance) noneAnswers(ctx context.Context) bool {
	addresses := i.members.Elsewhere()
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
