package step

import (
	"context"
	"time"

	sesamepitch "sesamepitch/src"
)

// floor is the oldest weight version that the trainer allows now.
func (d *driver) floor() int64 {
	newest := max(d.open.PolicyVersion, d.m.notices.ModelVersion(d.trainer.Model))
	return newest - d.trainer.MaxLag
}

// pass delivers a sample unless the trainer has it or its weights have become
// too old; then it is generated again.
func (d *driver) pass(sample Sample, durable bool) error {
	if d.have[sample.Identity] {
		return nil
	}
	if sample.oldest() < d.floor() {
		d.m.log.Info("sample too stale", "trainer", d.trainer.Name, "step", d.open.Spec.Step, "group", sample.Group, "index", sample.Index, "version", sample.oldest(), "floor", d.floor())
		return nil
	}
	sample.Durable = durable
	if err := d.delivery.Deliver(sample); err != nil {
		return err
	}
	d.have[sample.Identity] = true
	return nil
}

// flush commits what is ready, and delivers it.
func (d *driver) flush(ctx context.Context) error {
	if len(d.ready) > 0 {
		d.backlog = append(d.backlog, d.ledger.prepare(d.trainer.Workspace, d.ready))
		d.ready = nil
	}
	if d.m.clock.Now().Before(d.retryAt) {
		return d.deliverBacklog()
	}
	for len(d.backlog) > 0 {
		e := d.backlog[0]
		err := d.commit(ctx, e)
		if err != nil {
			return d.storeFailed(ctx, err)
		}
		d.m.noteTable(true)
		d.failing = time.Time{}
		d.backlog = d.backlog[1:]
		if err := d.deliver(e, true); err != nil {
			return err
		}
	}
	return nil
}

func (d *driver) commit(ctx context.Context, e *entry) error {
	if !d.ledger.claimed() {
		if err := d.ledger.claim(ctx); err != nil {
			return err
		}
	}
	return d.ledger.commit(ctx, e)
}

// storeFailed decides what happens while the table does not answer: after a
// grace, samples are delivered before they are committed. The trainer's own
// list then keeps them from being sent twice.
func (d *driver) storeFailed(ctx context.Context, err error) error {
	kind := sesamepitch.KindOf(err)
	if kind == sesamepitch.KindConflict || kind == sesamepitch.KindInvalid {
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	d.m.noteTable(false)
	now := d.m.clock.Now()
	if d.failing.IsZero() {
		d.failing = now
	}
	d.retryAt = now.Add(storeRetry)
	return d.deliverBacklog()
}

// deliverBacklog passes on what waits for the table, once the grace is over.
func (d *driver) deliverBacklog() error {
	if d.m.clock.Now().Sub(d.failing) < storeGrace {
		return nil
	}
	for _, e := range d.backlog {
		if err := d.deliver(e, false); err != nil {
			return err
		}
	}
	return nil
}

func (d *driver) deliver(e *entry, durable bool) error {
	if e.passed {
		return nil
	}
	e.passed = true
	for _, sample := range e.samples {
		had := d.have[sample.Identity]
		if err := d.pass(sample, durable); err != nil {
			return err
		}
		if !had && !d.have[sample.Identity] {
			d.missing = append(d.missing, sample.Identity)
		}
	}
	return nil
}
