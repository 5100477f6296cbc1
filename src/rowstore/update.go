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
	retryBase = 50 * time.Millisecond
	retryMax  = 2 * time.Second
)

// Backoff returns the jittered delay before the given retry (from 0).
func Backoff(attempt int) time.Duration {
	limit := min(retryBase<<min(attempt, 6), retryMax)
	return limit/2 + rand.N(limit/2+1)
}

// Encode turns a row's value into JSON; the types stored always encode.
func Encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// Read decodes one row into out and returns the row's version, zero if absent.
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

// deleteAtOnce is how many rows one transaction deletes at most.
const deleteAtOnce = 90

// DeleteRows deletes rows by key, some in each transaction.
func DeleteRows(ctx context.Context, table sesamepitch.Table, keys []string) error {
	for keys := range slices.Chunk(keys, deleteAtOnce) {
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
