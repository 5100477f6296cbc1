package rowstore

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	sesamepitch "sesamepitch/src"
)

const (
	baseRetryDelay = 50 * time.Millisecond
	maxRetryDelay  = 2 * time.Second
)

// Backoff returns the exponential delay with jitter before a retry; attempt
// counts from 0.
func Backoff(attempt int) time.Duration {
	limit := min(baseRetryDelay<<min(attempt, 6), maxRetryDelay)
	return limit/2 + rand.N(limit/2+1)
}

// Encode returns a row's value as JSON. It panics if value cannot be encoded,
// which does not happen for the types that are stored.
func Encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// Read decodes a row into out and returns the row's version, or zero if there is
// no such row.
func Read(ctx context.Context, table sesamepitch.Table, key string, out any) (int64, error) {
	row, err := table.Get(ctx, key)
	if err != nil || row.Version == 0 {
		return 0, err
	}
	if err := json.Unmarshal(row.Value, out); err != nil {
		return 0, &Error{Op: "table.decode " + key, Kind: sesamepitch.KindInternal, Err: err}
	}
	return row.Version, nil
}

// maxDeletesPerTxn is the maximum number of rows deleted in one transaction.
const maxDeletesPerTxn = 90

// DeleteRows deletes rows by key, at most maxDeletesPerTxn per transaction. It is
// not atomic across transactions.
func DeleteRows(ctx context.Context, table sesamepitch.Table, keys []string) error {
	for keys := range slices.Chunk(keys, maxDeletesPerTxn) {
		var txn sesamepitch.Txn
		for _, key := range keys {
			txn.Writes = append(txn.Writes, sesamepitch.Write{Key: key, Delete: true})
		}
		if _, err := table.Commit(ctx, txn); err != nil {
			return err
		}
	}
	return nil
}
