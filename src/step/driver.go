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
	maxRunning = 512
	// A step asks for more streams at once while they come soon, and for fewer
	// while they must be waited for.
	firstWindow  = 192
	soon         = 250 * time.Millisecond
	late         = 2 * time.Second
	windowShrink = 0.95
	batchSize    = 64
	batchDelay   = 100 * time.Millisecond
	claimTime    = 1200 * time.Millisecond
	// While the table is known to be down, claims and commits are only tried.
	claimTry    = 300 * time.Millisecond
	downMemory  = 4 * time.Second
	storeGrace  = time.Second
	maxBacklog  = 8192
	urgentShare = 4
	storeRetry  = time.Second
)

// The results.
const (
	// Complete: the trainer has every sample.
	Complete Outcome = "complete"
	// Resume: this daemon ends; connect to another one with what you have.
	Resume Outcome = "resume"
)

// driver is one step at the daemon that drives it.
type driver struct {
	m       *Manager
	open    Request
	trainer document.Trainer
	weight  int
	// thrifty is whether any endpoint of the model is reclaimable.
	thrifty  bool
	deadline time.Time
	ledger   *ledger
	delivery Delivery
	hedger   *hedger

	missing []Identity
	groups  map[int]*pins
	have    map[Identity]bool
	under   map[Identity]*running
	results chan finished
	// placements receives after a sample has got its endpoint.
	placements chan struct{}
	ready      []Sample
	backlog    []*entry
	failing    time.Time
	retryAt    time.Time
	finishes   int
	window     float64
}

func (d *driver) drive(ctx context.Context) (Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer d.stop(cancel)
	if err := d.recover(ctx); err != nil {
		return "", err
	}
	for _, identity := range d.open.Spec.identities() {
		if !d.have[identity] {
			d.missing = append(d.missing, identity)
		}
	}
	d.longestFirst()
	d.m.log.Info("step driven", "trainer", d.trainer.Name, "step", d.open.Spec.Step, "epoch", d.ledger.epoch, "missing", len(d.missing))
	for !d.done() {
		d.launch(ctx)
		if err := d.wait(ctx); err != nil {
			return "", err
		}
		if err := d.flush(ctx); err != nil {
			return "", err
		}
		if d.m.draining() && len(d.under) == 0 && len(d.ready) == 0 && len(d.missing) > 0 && d.allPassed() {
			return Resume, nil
		}
	}
	d.m.log.Info("step whole", "trainer", d.trainer.Name, "step", d.open.Spec.Step, "late", d.m.clock.Now().After(d.deadline))
	return Complete, nil
}

// longestFirst starts the groups with the longest samples first, so that the
// step does not end in waiting for them.
func (d *driver) longestFirst() {
	groups := d.open.Spec.Groups
	sort.SliceStable(d.missing, func(i, j int) bool {
		return groups[d.missing[i].Group].MaxTokens > groups[d.missing[j].Group].MaxTokens
	})
}

// stop cancels all that still runs and waits for its end. What the trainer
// has but the table lacks is left to the manager.
func (d *driver) stop(cancel context.CancelFunc) {
	cancel()
	d.m.leave(d.ledger, d.backlog)
	for range d.finishes {
		<-d.results
	}
}

func (d *driver) done() bool {
	return len(d.missing) == 0 && len(d.under) == 0 && len(d.ready) == 0 && d.allPassed()
}

// allPassed tells whether the trainer has all that waits for the table.
func (d *driver) allPassed() bool {
	for _, e := range d.backlog {
		if !e.passed {
			return false
		}
	}
	return true
}

// recover claims the step and delivers what earlier drivers committed. While
// the table is out of reach the trainer's own list is all there is.
func (d *driver) recover(ctx context.Context) error {
	limit := claimTime
	if since, down := d.m.tableDown(); down {
		limit = claimTry
		d.failing = since
	}
	claiming, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for attempt := 0; ; attempt++ {
		err := d.recoverOnce(claiming)
		if err == nil {
			d.m.noteTable(true)
			return nil
		}
		kind := sesamepitch.KindOf(err)
		if kind == sesamepitch.KindInvalid || errors.Is(err, errGone) {
			return err
		}
		select {
		case <-d.m.clock.After(rowstore.Backoff(attempt)):
		case <-claiming.Done():
			if ctx.Err() != nil {
				return ctx.Err()
			}
			d.m.noteTable(false)
			d.m.log.Info("step driven without the table", "trainer", d.trainer.Name, "step", d.open.Spec.Step, "cause", err.Error())
			return nil
		}
	}
}

var errGone = errors.New("the trainer is gone")

func (d *driver) recoverOnce(ctx context.Context) error {
	if !d.ledger.claimed() {
		if err := d.ledger.claim(ctx); err != nil {
			return err
		}
	}
	confirmed, err := d.ledger.acknowledged(ctx)
	if err != nil {
		return err
	}
	committed, err := d.ledger.committed(ctx)
	if err != nil {
		return err
	}
	for _, identity := range confirmed {
		d.have[identity] = true
	}
	for _, sample := range committed {
		if err := d.pass(sample, true); err != nil {
			return errGone
		}
	}
	return nil
}

// wait takes results until a batch is full or its delay is over.
func (d *driver) wait(ctx context.Context) error {
	timer := d.m.clock.After(batchDelay)
	for {
		select {
		case f := <-d.results:
			d.finishes--
			if err := d.take(f); err != nil {
				return err
			}
			if len(d.ready) >= batchSize || (len(d.under) == 0 && len(d.missing) == 0) {
				return nil
			}
		case <-d.placements:
			d.launch(ctx)
		case <-timer:
			d.hedge(ctx)
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
