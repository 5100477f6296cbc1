package step

import (
	"context"
	"time"

	sesamepitch "sesamepitch/src"
)

// minVersion returns the oldest weight version that the trainer currently allows.
func (d *driver) minVersion() int64 {
	newest := max(d.request.PolicyVersion, d.m.notices.ModelVersion(d.trainer.Model))
	return newest - d.trainer.MaxLag
}

// deliverSample delivers a sample, unless the trainer has it or its weights have become
// too old.
func (d *driver) deliverSample(sample Sample, durable bool) error {
	if d.received[sample.Identity] {
		return nil
	}
	if sample.oldestVersion() < d.minVersion() {
		d.m.log.Info("sample discarded: weights too old", "trainer", d.trainer.Name, "step", d.request.Spec.Step, "group", sample.Group, "index", sample.Index, "version", sample.oldestVersion(), "floor", d.minVersion())
		return nil
	}
	sample.Durable = durable
	if err := d.delivery.Deliver(sample); err != nil {
		return err
	}
	d.received[sample.Identity] = true
	return nil
}

// flush puts the ready samples into a batch, and commits and delivers the backlog.
func (d *driver) flush(ctx context.Context) error {
	if len(d.ready) > 0 {
		d.backlog = append(d.backlog, d.ledger.newBatch(d.trainer.Workspace, d.ready))
		d.ready = nil
	}
	if d.m.clock.Now().Before(d.retryAt) {
		return d.deliverBacklog()
	}
	for len(d.backlog) > 0 {
		batch := d.backlog[0]
		err := d.commit(ctx, batch)
		if err != nil {
			return d.handleCommitError(ctx, err)
		}
		d.m.recordTableState(true)
		d.downSince = time.Time{}
		d.backlog = d.backlog[1:]
		if err := d.deliverBatch(batch, true); err != nil {
			return err
		}
	}
	return nil
}

func (d *driver) commit(ctx context.Context, batch *pendingBatch) error {
	if !d.ledger.claimed() {
		if err := d.ledger.claim(ctx); err != nil {
			return err
		}
	}
	return d.ledger.commit(ctx, batch)
}

// handleCommitError schedules a retry if the table is unreachable. Samples are delivered
// uncommitted after commitGrace; the trainer's own list of the samples that it has then
// keeps them from being delivered twice.
func (d *driver) handleCommitError(ctx context.Context, err error) error {
	kind := sesamepitch.KindOf(err)
	if kind == sesamepitch.KindConflict || kind == sesamepitch.KindInvalid {
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	d.m.recordTableState(false)
	now := d.m.clock.Now()
	if d.downSince.IsZero() {
		d.downSince = now
	}
	d.retryAt = now.Add(commitRetryDelay)
	return d.deliverBacklog()
}

// deliverBacklog delivers the uncommitted batches once commitGrace is over.
func (d *driver) deliverBacklog() error {
	if d.m.clock.Now().Sub(d.downSince) < commitGrace {
		return nil
	}
	for _, batch := range d.backlog {
		if err := d.deliverBatch(batch, false); err != nil {
			return err
		}
	}
	return nil
}

// deliverBatch delivers a batch once. Samples that are too old to be delivered are
// generated again.
func (d *driver) deliverBatch(batch *pendingBatch, durable bool) error {
	if batch.delivered {
		return nil
	}
	batch.delivered = true
	for _, sample := range batch.samples {
		had := d.received[sample.Identity]
		if err := d.deliverSample(sample, durable); err != nil {
			return err
		}
		if !had && !d.received[sample.Identity] {
			d.missing = append(d.missing, sample.Identity)
		}
	}
	return nil
}
