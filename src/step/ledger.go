package step

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
	"sesamepitch/src/usage"

	"github.com/google/uuid"
)

var (
	errOtherGroups = errors.New("the step was submitted before with other groups")
	errExpired     = errors.New("the step is past and its samples were removed; take another number")
	errSuperseded  = errors.New("another daemon drives the step now")
)

// ledger stores one step's samples and state in the table and the object store.
type ledger struct {
	table   sesamepitch.Table
	objects sesamepitch.Objects
	clock   sesamepitch.Clock
	spec    Spec
	digest  string
	// driverID names this driver in the step's row.
	driverID string
	// window returns the current usage window.
	window func() usage.Window
	// version and epoch are those of the step's row once this driver has claimed it.
	version    int64
	epoch      int64
	batchCount int
}

func specDigest(spec Spec) string { return sesamepitch.Digest(rowstore.Encode(spec)) }

// claim makes this daemon the step's driver, under a new epoch.
func (l *ledger) claim(ctx context.Context) error {
	var row stepRow
	version, err := rowstore.Read(ctx, l.table, stepKey(l.spec.Trainer, l.spec.Step), &row)
	if err != nil {
		return err
	}
	if err := l.checkOpen(ctx, row, version); err != nil {
		return err
	}
	if version != 0 && row.Digest != l.digest {
		return &Error{Op: "step.claim", Kind: sesamepitch.KindInvalid, Err: errOtherGroups}
	}
	if version != 0 && row.Driver == l.driverID && row.Epoch == l.epoch+1 {
		// An earlier claim succeeded, but its answer was lost.
		l.version, l.epoch = version, row.Epoch
		return nil
	}
	next := stepRow{Epoch: row.Epoch + 1, Driver: l.driverID, Digest: l.digest, Samples: len(l.spec.identities()), ClaimedAt: l.clock.Now(), Done: row.Done}
	revision, err := l.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: stepKey(l.spec.Trainer, l.spec.Step), Version: version}},
		Writes: []sesamepitch.Write{{Key: stepKey(l.spec.Trainer, l.spec.Step), Value: rowstore.Encode(next)}},
	})
	if err != nil {
		return err
	}
	l.version, l.epoch = revision, next.Epoch
	return nil
}

// checkOpen returns an error if the step's rows were removed, or are being removed.
func (l *ledger) checkOpen(ctx context.Context, row stepRow, version int64) error {
	expired := row.Closed
	if version == 0 {
		closed, _, err := readClosed(ctx, l.table, l.spec.Trainer)
		if err != nil {
			return err
		}
		expired = closed.has(l.spec.Step)
	}
	if expired {
		return &Error{Op: "step.claim", Kind: sesamepitch.KindInvalid, Err: errExpired}
	}
	return nil
}

// claimed reports whether this driver has claimed the step.
func (l *ledger) claimed() bool { return l.version != 0 }

// committedSamples reads the samples that earlier drivers committed. Of two with the same
// identity, the later one counts.
func (l *ledger) committedSamples(ctx context.Context) (map[Identity]Sample, error) {
	rows, err := l.table.List(ctx, samplePrefix(l.spec.Trainer, l.spec.Step))
	if err != nil {
		return nil, err
	}
	samples := map[Identity]Sample{}
	for _, row := range rows {
		var b batchRow
		if err := json.Unmarshal(row.Value, &b); err != nil {
			return nil, &Error{Op: "step.committed", Kind: sesamepitch.KindInternal, Err: err}
		}
		list, err := l.readObject(ctx, b.Object)
		if err != nil {
			return nil, err
		}
		for _, sample := range list {
			samples[sample.Identity] = sample
		}
	}
	return samples, nil
}

func (l *ledger) readObject(ctx context.Context, name string) ([]Sample, error) {
	content, err := l.objects.Get(ctx, name)
	if err != nil {
		return nil, err
	}
	var list []Sample
	if err := json.Unmarshal(content, &list); err != nil {
		return nil, &Error{Op: "step.object", Kind: sesamepitch.KindInternal, Err: err}
	}
	return list, nil
}

// pendingBatch is a batch of samples to be committed. It is sent again unchanged after a
// lost answer, so that its nonce shows whether it was committed.
type pendingBatch struct {
	key          string
	row          batchRow
	samples      []Sample
	figures      usage.Figures
	objectStored bool
	// delivered is set before the samples are delivered, so that they are sent once.
	delivered bool
}

// newBatch returns a batch of samples that are not committed yet.
func (l *ledger) newBatch(workspace string, samples []Sample) *pendingBatch {
	l.batchCount++
	nonce := uuid.NewString()
	batch := &pendingBatch{
		key: fmt.Sprintf("%s%08d-%08d", samplePrefix(l.spec.Trainer, l.spec.Step), l.epoch, l.batchCount),
		row: batchRow{Nonce: nonce, Object: "samples-" + nonce}, samples: samples, figures: usage.Figures{},
	}
	for _, sample := range samples {
		batch.row.Samples = append(batch.row.Samples, sample.Identity)
		batch.figures.Add(workspace, 1, int64(sample.Tokens), sample.MilliCost)
	}
	return batch
}

// maxWindowAttempts is the number of consecutive usage windows that a commit tries.
const maxWindowAttempts = 4

// commit writes the batch and its usage in one transaction, provided that this daemon
// still drives the step. If the usage window is closed, it tries the next ones.
func (l *ledger) commit(ctx context.Context, batch *pendingBatch) error {
	if !batch.objectStored {
		if err := l.objects.Put(ctx, batch.row.Object, rowstore.Encode(batch.samples)); err != nil {
			return err
		}
		batch.objectStored = true
	}
	window := l.window()
	for range maxWindowAttempts {
		_, err := l.table.Commit(ctx, l.commitTxn(batch, window))
		kind := sesamepitch.KindOf(err)
		if kind != sesamepitch.KindConflict && kind != sesamepitch.KindUnknown {
			return err
		}
		done, readErr := l.isCommitted(ctx, batch)
		if readErr != nil {
			return readErr
		}
		if done {
			return nil
		}
		if kind == sesamepitch.KindUnknown {
			return err
		}
		if err := l.checkDriver(ctx); err != nil {
			return err
		}
		window = window.Next()
	}
	return &Error{Op: "step.commit", Kind: sesamepitch.KindUnavailable, Err: errors.New("no open usage window")}
}

func (l *ledger) commitTxn(batch *pendingBatch, window usage.Window) sesamepitch.Txn {
	return sesamepitch.Txn{
		Checks: []sesamepitch.Check{
			{Key: stepKey(l.spec.Trainer, l.spec.Step), Version: l.version},
			{Key: batch.key},
			window.NotClosed(),
		},
		Writes: []sesamepitch.Write{
			{Key: batch.key, Value: rowstore.Encode(batch.row)},
			{Key: window.BatchKey(batch.row.Nonce), Value: rowstore.Encode(usage.Row{Figures: batch.figures})},
		},
	}
}

// isCommitted reports whether the batch is in the table.
func (l *ledger) isCommitted(ctx context.Context, batch *pendingBatch) (bool, error) {
	var row batchRow
	version, err := rowstore.Read(ctx, l.table, batch.key, &row)
	return version != 0 && row.Nonce == batch.row.Nonce, err
}

// checkDriver returns an error if another driver has claimed the step.
func (l *ledger) checkDriver(ctx context.Context) error {
	var row stepRow
	version, err := rowstore.Read(ctx, l.table, stepKey(l.spec.Trainer, l.spec.Step), &row)
	if err != nil {
		return err
	}
	if version != l.version {
		return &Error{Op: "step.commit", Kind: sesamepitch.KindConflict, Err: errSuperseded}
	}
	return nil
}

// ackRow is the row of the samples that the trainer has acknowledged.
type ackRow struct {
	Samples []Identity `json:"samples"`
	Done    bool       `json:"done"`
}

// Acknowledge records in the table that the trainer has these samples. It does nothing
// if the step is closed.
func Acknowledge(ctx context.Context, table sesamepitch.Table, trainer string, step int64, samples []Identity, done bool) error {
	const tries = 6
	var err error
	for range tries {
		err = acknowledgeOnce(ctx, table, trainer, step, samples, done)
		if sesamepitch.KindOf(err) != sesamepitch.KindConflict {
			return err
		}
	}
	return err
}

// acknowledgeOnce returns an error of KindConflict if the rows have changed meanwhile.
func acknowledgeOnce(ctx context.Context, table sesamepitch.Table, trainer string, step int64, samples []Identity, done bool) error {
	key := ackKey(trainer, step)
	closed, closedVersion, err := readClosed(ctx, table, trainer)
	if err != nil || closed.has(step) {
		return err
	}
	var row ackRow
	version, err := rowstore.Read(ctx, table, key, &row)
	if err != nil {
		return err
	}
	merged := mergeIdentities(row.Samples, samples)
	_, err = table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: key, Version: version}, {Key: closedKey(trainer), Version: closedVersion}},
		Writes: []sesamepitch.Write{{Key: key, Value: rowstore.Encode(ackRow{Samples: merged, Done: row.Done || done})}},
	})
	return err
}

func mergeIdentities(a, b []Identity) []Identity {
	seen := map[Identity]bool{}
	var merged []Identity
	for _, identity := range append(append([]Identity{}, a...), b...) {
		if !seen[identity] {
			seen[identity] = true
			merged = append(merged, identity)
		}
	}
	return merged
}

// acknowledgedSamples reads the samples that the trainer has acknowledged.
func (l *ledger) acknowledgedSamples(ctx context.Context) ([]Identity, error) {
	var row ackRow
	_, err := rowstore.Read(ctx, l.table, ackKey(l.spec.Trainer, l.spec.Step), &row)
	return row.Samples, err
}
