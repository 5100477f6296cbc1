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
	errOther      = errors.New("the step was submitted before with other groups")
	errPast       = errors.New("the step is past and its samples were removed; take another number")
	errSuperseded = errors.New("another daemon drives the step now")
)

// ledger is the durable side of one step at its driver.
type ledger struct {
	table   sesamepitch.Table
	objects sesamepitch.Objects
	clock   sesamepitch.Clock
	spec    Spec
	digest  string
	run     string
	window  func() usage.Window
	// version and epoch are those of the step's row once claimed.
	version int64
	epoch   int64
	count   int
}

func specDigest(spec Spec) string { return sesamepitch.Digest(rowstore.Encode(spec)) }

// claim makes this daemon the driver.
func (l *ledger) claim(ctx context.Context) error {
	var row state
	version, err := rowstore.Read(ctx, l.table, stepKey(l.spec.Trainer, l.spec.Step), &row)
	if err != nil {
		return err
	}
	if err := l.checkOpen(ctx, row, version); err != nil {
		return err
	}
	if version != 0 && row.Digest != l.digest {
		return &Error{Op: "step.claim", Kind: sesamepitch.KindInvalid, Err: errOther}
	}
	if version != 0 && row.Driver == l.run && row.Epoch == l.epoch+1 {
		// An earlier claim whose answer was lost.
		l.version, l.epoch = version, row.Epoch
		return nil
	}
	next := state{Epoch: row.Epoch + 1, Driver: l.run, Digest: l.digest, Samples: len(l.spec.identities()), At: l.clock.Now(), Done: row.Done}
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

// checkOpen fails if the step's rows were removed, or are being removed.
func (l *ledger) checkOpen(ctx context.Context, row state, version int64) error {
	past := row.Closed
	if version == 0 {
		closed, _, err := readClosed(ctx, l.table, l.spec.Trainer)
		if err != nil {
			return err
		}
		past = closed.has(l.spec.Step)
	}
	if past {
		return &Error{Op: "step.claim", Kind: sesamepitch.KindInvalid, Err: errPast}
	}
	return nil
}

// claimed tells whether this daemon has been the driver.
func (l *ledger) claimed() bool { return l.version != 0 }

// committed reads all samples that earlier drivers committed. Of two with the
// same identity the later holds.
func (l *ledger) committed(ctx context.Context) (map[Identity]Sample, error) {
	rows, err := l.table.List(ctx, samplePrefix(l.spec.Trainer, l.spec.Step))
	if err != nil {
		return nil, err
	}
	samples := map[Identity]Sample{}
	for _, row := range rows {
		var b batch
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

// entry is a batch on its way into the table. It is sent again as it is after
// a lost answer.
type entry struct {
	key     string
	row     batch
	samples []Sample
	figures usage.Figures
	stored  bool
	// passed is set once the trainer has the samples.
	passed bool
}

// prepare makes a batch of samples that are new for the ledger.
func (l *ledger) prepare(workspace string, samples []Sample) *entry {
	l.count++
	nonce := uuid.NewString()
	e := &entry{
		key: fmt.Sprintf("%s%08d-%08d", samplePrefix(l.spec.Trainer, l.spec.Step), l.epoch, l.count),
		row: batch{Nonce: nonce, Object: "samples-" + nonce}, samples: samples, figures: usage.Figures{},
	}
	for _, sample := range samples {
		e.row.Samples = append(e.row.Samples, sample.Identity)
		e.figures.Add(workspace, 1, int64(sample.Tokens), sample.MilliCost)
	}
	return e
}

const windowTries = 4

// commit writes the batch and its usage in one transaction, if this daemon
// still drives the step.
func (l *ledger) commit(ctx context.Context, e *entry) error {
	if !e.stored {
		if err := l.objects.Put(ctx, e.row.Object, rowstore.Encode(e.samples)); err != nil {
			return err
		}
		e.stored = true
	}
	window := l.window()
	for range windowTries {
		_, err := l.table.Commit(ctx, l.txn(e, window))
		kind := sesamepitch.KindOf(err)
		if kind != sesamepitch.KindConflict && kind != sesamepitch.KindUnknown {
			return err
		}
		done, readErr := l.arrived(ctx, e)
		if readErr != nil {
			return readErr
		}
		if done {
			return nil
		}
		if kind == sesamepitch.KindUnknown {
			return err
		}
		if err := l.stillDriver(ctx); err != nil {
			return err
		}
		window = window.Next()
	}
	return &Error{Op: "step.commit", Kind: sesamepitch.KindUnavailable, Err: errors.New("no open usage window")}
}

func (l *ledger) txn(e *entry, window usage.Window) sesamepitch.Txn {
	return sesamepitch.Txn{
		Checks: []sesamepitch.Check{
			{Key: stepKey(l.spec.Trainer, l.spec.Step), Version: l.version},
			{Key: e.key},
			window.NotClosed(),
		},
		Writes: []sesamepitch.Write{
			{Key: e.key, Value: rowstore.Encode(e.row)},
			{Key: window.BatchKey(e.row.Nonce), Value: rowstore.Encode(usage.Row{Figures: e.figures})},
		},
	}
}

func (l *ledger) arrived(ctx context.Context, e *entry) (bool, error) {
	var row batch
	version, err := rowstore.Read(ctx, l.table, e.key, &row)
	return version != 0 && row.Nonce == e.row.Nonce, err
}

func (l *ledger) stillDriver(ctx context.Context) error {
	var row state
	version, err := rowstore.Read(ctx, l.table, stepKey(l.spec.Trainer, l.spec.Step), &row)
	if err != nil {
		return err
	}
	if version != l.version {
		return &Error{Op: "step.commit", Kind: sesamepitch.KindConflict, Err: errSuperseded}
	}
	return nil
}

// acknowledged is the row of samples that the trainer has confirmed.
type acknowledged struct {
	Samples []Identity `json:"samples"`
	Done    bool       `json:"done"`
}

// Acknowledge notes durably that the trainer has these samples. Of a step that
// is past nothing is noted.
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

// acknowledgeOnce is KindConflict if another acknowledgement came between.
func acknowledgeOnce(ctx context.Context, table sesamepitch.Table, trainer string, step int64, samples []Identity, done bool) error {
	key := ackKey(trainer, step)
	closed, closedVersion, err := readClosed(ctx, table, trainer)
	if err != nil || closed.has(step) {
		return err
	}
	var row acknowledged
	version, err := rowstore.Read(ctx, table, key, &row)
	if err != nil {
		return err
	}
	merged := mergeIdentities(row.Samples, samples)
	_, err = table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: key, Version: version}, {Key: closedKey(trainer), Version: closedVersion}},
		Writes: []sesamepitch.Write{{Key: key, Value: rowstore.Encode(acknowledged{Samples: merged, Done: row.Done || done})}},
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

// acknowledged reads what the trainer has confirmed.
func (l *ledger) acknowledged(ctx context.Context) ([]Identity, error) {
	var row acknowledged
	_, err := rowstore.Read(ctx, l.table, ackKey(l.spec.Trainer, l.spec.Step), &row)
	return row.Samples, err
}
