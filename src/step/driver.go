package step

import (
	"context"
	"errors"
	"sort"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/document"
	"sesamepitch/src/rowstore"
)

const (
	// A step starts with minConcurrency samples under way. The limit rises by one
	// with each sample whose stream was granted within shortWait, up to
	// maxConcurrency, and is multiplied by concurrencyDecrease with each one that
	// waited longer than longWait, down to minConcurrency.
	maxConcurrency      = 512
	minConcurrency      = 192
	shortWait           = 250 * time.Millisecond
	longWait            = 2 * time.Second
	concurrencyDecrease = 0.95
	// A batch is committed once it has batchSize samples, or after batchDelay.
	batchSize    = 64
	batchDelay   = 100 * time.Millisecond
	claimTimeout = 1200 * time.Millisecond
	// claimTimeoutDown replaces claimTimeout for downTTL after the table was last
	// found unreachable.
	claimTimeoutDown = 300 * time.Millisecond
	downTTL          = 4 * time.Second
	// commitGrace is how long the table may be unreachable before samples are
	// delivered uncommitted.
	commitGrace = time.Second
	// maxBacklogSamples is the number of uncommitted samples from which on no more
	// samples are started.
	maxBacklogSamples = 8192
	// A request is urgent once less than 1/urgentDivisor of the step's time is left.
	urgentDivisor    = 4
	commitRetryDelay = time.Second
)

// The outcomes.
const (
	// Complete means that the trainer has every sample.
	Complete Outcome = "complete"
	// Resume means that this daemon is draining; the trainer resumes the step at
	// another one, with a list of the samples that it has.
	Resume Outcome = "resume"
)

// driver drives one step.
type driver struct {
	m       *Manager
	request Request
	trainer document.Trainer
	weight  int
	// costSensitive is set if any endpoint of the model is reclaimable.
	costSensitive bool
	deadline      time.Time
	ledger        *ledger
	delivery      Delivery
	hedger        *hedger

	// missing lists the samples that are neither under way nor finished.
	missing []Identity
	// affinities holds the affinity of each group's prompt.
	affinities map[int]*promptAffinity
	// received holds the samples that the trainer has.
	received map[Identity]bool
	active   map[Identity]*activeSample
	results  chan attemptResult
	// placements receives a signal when a sample is placed on an endpoint.
	placements chan struct{}
	// ready holds the finished samples that are not in a batch yet.
	ready []Sample
	// backlog holds the batches that are not committed yet, oldest first.
	backlog []*pendingBatch
	// downSince is when the table was first found unreachable; zero if it is reachable.
	downSince time.Time
	// retryAt is when the next commit is tried.
	retryAt time.Time
	// outstanding is the number of attempts whose result has not been received.
	outstanding int
	// concurrency is the current limit of samples under way.
	concurrency float64
}

func (d *driver) drive(ctx context.Context) (Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer d.stop(cancel)
	if err := d.restore(ctx); err != nil {
		return "", err
	}
	for _, identity := range d.request.Spec.identities() {
		if !d.received[identity] {
			d.missing = append(d.missing, identity)
		}
	}
	d.sortMissing()
	d.m.log.Info("driving step", "trainer", d.trainer.Name, "step", d.request.Spec.Step, "epoch", d.ledger.epoch, "missing", len(d.missing))
	for !d.done() {
		d.launch(ctx)
		if err := d.wait(ctx); err != nil {
			return "", err
		}
		if err := d.flush(ctx); err != nil {
			return "", err
		}
		if d.m.draining() && len(d.active) == 0 && len(d.ready) == 0 && len(d.missing) > 0 && d.allDelivered() {
			return Resume, nil
		}
	}
	d.m.log.Info("step complete", "trainer", d.trainer.Name, "step", d.request.Spec.Step, "late", d.m.clock.Now().After(d.deadline))
	return Complete, nil
}

// sortMissing puts the groups with the longest samples first, so that the step does
// not end with a wait for them.
func (d *driver) sortMissing() {
	groups := d.request.Spec.Groups
	sort.SliceStable(d.missing, func(i, j int) bool {
		return groups[d.missing[i].Group].MaxTokens > groups[d.missing[j].Group].MaxTokens
	})
}

// stop cancels all running attempts and waits for them to return. The manager goes
// on committing the batches that were delivered but not committed.
func (d *driver) stop(cancel context.CancelFunc) {
	cancel()
	d.m.keepUncommitted(d.ledger, d.backlog)
	for range d.outstanding {
		<-d.results
	}
}

func (d *driver) done() bool {
	return len(d.missing) == 0 && len(d.active) == 0 && len(d.ready) == 0 && d.allDelivered()
}

// allDelivered reports whether all batches in the backlog were delivered.
func (d *driver) allDelivered() bool {
	for _, batch := range d.backlog {
		if !batch.delivered {
			return false
		}
	}
	return true
}

// restore claims the step and delivers the samples that earlier drivers committed.
// If the table is unreachable, the step is driven unclaimed, from the trainer's own
// list of the samples that it has.
func (d *driver) restore(ctx context.Context) error {
	limit := claimTimeout
	if since, down := d.m.recentTableOutage(); down {
		limit = claimTimeoutDown
		d.downSince = since
	}
	claimCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for attempt := 0; ; attempt++ {
		err := d.restoreOnce(claimCtx)
		if err == nil {
			d.m.recordTableState(true)
			return nil
		}
		kind := sesamepitch.KindOf(err)
		if kind == sesamepitch.KindInvalid || errors.Is(err, errDisconnected) {
			return err
		}
		select {
		case <-d.m.clock.After(rowstore.Backoff(attempt)):
		case <-claimCtx.Done():
			if ctx.Err() != nil {
				return ctx.Err()
			}
			d.m.recordTableState(false)
			d.m.log.Info("driving step without the table", "trainer", d.trainer.Name, "step", d.request.Spec.Step, "cause", err.Error())
			return nil
		}
	}
}

var errDisconnected = errors.New("the trainer is gone")

func (d *driver) restoreOnce(ctx context.Context) error {
	if !d.ledger.claimed() {
		if err := d.ledger.claim(ctx); err != nil {
			return err
		}
	}
	confirmed, err := d.ledger.acknowledgedSamples(ctx)
	if err != nil {
		return err
	}
	committed, err := d.ledger.committedSamples(ctx)
	if err != nil {
		return err
	}
	for _, identity := range confirmed {
		d.received[identity] = true
	}
	for _, sample := range committed {
		if err := d.deliverSample(sample, true); err != nil {
			return errDisconnected
		}
	}
	return nil
}

// wait handles results until a batch is full, all samples have ended, or batchDelay has
// passed; stragglers are then hedged.
func (d *driver) wait(ctx context.Context) error {
	timer := d.m.clock.After(batchDelay)
	for {
		select {
		case result := <-d.results:
			d.outstanding--
			if err := d.handleResult(result); err != nil {
				return err
			}
			if len(d.ready) >= batchSize || (len(d.active) == 0 && len(d.missing) == 0) {
				return nil
			}
		case <-d.placements:
			d.launch(ctx)
		case <-timer:
			d.hedgeStragglers(ctx)
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
