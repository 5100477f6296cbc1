package driver

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/registry"
	"sesamepitch/src/supervisor"
)

const (
	// yieldAfter is how long an instance with more cores must be known before this
	// one asks it to take the lease, and the time between two such questions.
	yieldAfter = 4 * time.Second
	// candidacyTimeout bounds the question; the lease is not renewed meanwhile.
	candidacyTimeout = 300 * time.Millisecond
	// maxLeaseReadAge is the greatest age of a candidate's last read of the lease.
	maxLeaseReadAge = time.Second
)

var (
	errLeaving     = errors.New("this instance is leaving")
	errWeak        = errors.New("this instance would leave the lease to another one")
	errLeaseUnread = errors.New("this instance has not read the lease lately")
	errNoPeers     = errors.New("no other instance can be reached")
)

// CandidacyRequest asks an instance whether it would take the driver lease at once
// if it were released.
type CandidacyRequest struct {
	// Epoch is the fencing number of the holder that asks.
	Epoch int64
}

// Candidacy is the answer. Cause tells why the instance would not take the lease;
// empty if it would.
type Candidacy struct{ Cause string }

// Candidacy answers whether this instance would take the driver lease.
func (s *Service) Candidacy(request CandidacyRequest, reply *Candidacy) error {
	return supervisor.Guard(func() error {
		if err := s.driver.candidacy(request.Epoch); err != nil {
			reply.Cause = err.Error()
		}
		return nil
	})
}

// candidacy returns why this instance would not take the lease at once if the
// holder with the given epoch released it; nil if it would.
func (d *Driver) candidacy(epoch int64) error {
	select {
	case <-d.leaving:
		return errLeaving
	default:
	}
	if _, released := d.acquireDelay(); released >= weakDelay {
		return errWeak
	}
	if d.lease.Record().Epoch != epoch || d.clock.Now().Sub(d.lease.ReadAt()) > maxLeaseReadAge {
		return errLeaseUnread
	}
	return nil
}

// acquireDelay returns how much longer than others this instance waits for a lease
// that lapsed and for one that was released. It waits for no holder that let the
// lease lapse: that one could not keep it.
func (d *Driver) acquireDelay() (lapsed, released time.Duration) {
	holder := d.lease.Record().Holder
	awaited := slices.DeleteFunc(d.eligibility.Stronger(), func(m registry.Member) bool { return m.Name == holder })
	switch {
	case !d.eligibility.IsSettled() || len(awaited) > 0:
		return weakDelay, weakDelay
	case d.eligibility.IsAged():
		return 0, agedDelay
	}
	return 0, 0
}

// yield hands the lease over once an instance with more cores has been known for
// yieldAfter and says that it takes the lease. Without such an answer this instance
// stays the holder: nobody would drive the jobs.
func (d *Driver) yield(ctx context.Context, current *activeSession) *activeSession {
	now := d.clock.Now()
	stronger := d.eligibility.Stronger()
	if current == nil || len(stronger) == 0 {
		d.weakSince = time.Time{}
		return current
	}
	if d.weakSince.IsZero() {
		d.weakSince = now
	}
	if now.Sub(d.weakSince) < yieldAfter {
		return current
	}
	d.weakSince = now
	successor := stronger[rand.N(len(stronger))] // another one next time, if this one does not take it
	if err := d.askCandidacy(ctx, successor, current.epoch); err != nil {
		d.log.Info("keeping the driver lease", "epoch", current.epoch, "candidate", successor.Name, "cause", err.Error())
		return current
	}
	d.log.Info("leaving the driver lease to an instance with more cores", "epoch", current.epoch, "successor", successor.Name, "cores", successor.Cores)
	d.handOver(ctx, current)
	d.release(ctx)
	return nil
}

// askCandidacy returns why an instance does not take the lease over now; nil if it
// does.
func (d *Driver) askCandidacy(ctx context.Context, candidate registry.Member, epoch int64) error {
	if d.peers == nil {
		return &Error{Op: "driver.candidacy", Kind: sesamepitch.KindUnavailable, Err: errNoPeers}
	}
	ctx, cancel := context.WithTimeout(ctx, candidacyTimeout)
	defer cancel()
	var reply Candidacy
	if err := d.peers.Call(ctx, candidate.Address, serviceName+".Candidacy", CandidacyRequest{Epoch: epoch}, &reply); err != nil {
		return err
	}
	if reply.Cause != "" {
		return &Error{Op: "driver.candidacy", Kind: sesamepitch.KindUnavailable, Err: errors.New(reply.Cause)}
	}
	return nil
}
