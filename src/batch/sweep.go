package batch

import (
	"context"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
)

// Remove deletes all rows of a job. The head goes last, so that a removal that
// stops half way is found and repeated.
func (l *Ledger) Remove(ctx context.Context, id string) error {
	for _, table := range []string{resultTable, progressTable, specTable, markTable, OpenTable} {
		rows, err := l.store.List(ctx, table+"/"+id+"/")
		if err != nil {
			return &Error{Op: "batch.remove", Kind: sesamepitch.KindUnavailable, Err: err}
		}
		if err := rowstore.DeleteRows(ctx, l.store, sesamepitch.KeysOf(rows)); err != nil {
			return &Error{Op: "batch.remove", Kind: sesamepitch.KindUnavailable, Err: err}
		}
	}
	l.heads.forget(id)
	return nil
}
