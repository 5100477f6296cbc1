package batch

import (
	"context"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
)

// Remove deletes all rows of a job. The header is deleted last, so that an
// incomplete removal is found and repeated.
func (l *Ledger) Remove(ctx context.Context, id string) error {
	for _, table := range []string{resultTable, checkpointTable, specTable, indexTable, cursorTable, OpenTable} {
		rows, err := l.store.List(ctx, table+"/"+id+"/")
		if err != nil {
			return &Error{Op: "batch.remove", Kind: sesamepitch.KindUnavailable, Err: err}
		}
		if err := rowstore.DeleteRows(ctx, l.store, sesamepitch.KeysOf(rows)); err != nil {
			return &Error{Op: "batch.remove", Kind: sesamepitch.KindUnavailable, Err: err}
		}
	}
	l.headers.remove(id)
	return nil
}
