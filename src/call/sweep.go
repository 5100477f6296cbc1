package call

import (
	"context"
	"fmt"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
)

const (
	// keptBuckets is the number of buckets kept before the current one: the previous one,
	// and another one for daemons whose clocks are behind.
	keptBuckets = 2
	// sliceCount is the number of slices of a bucket, one for each value of sliceDigits
	// hex digits.
	sliceCount = 256
	sweptKey   = "swept/call"
)

// sweepCursor is the row with the next slice to sweep.
type sweepCursor struct {
	Bucket int64 `json:"bucket"`
	Slice  int   `json:"slice"`
}

// next returns the cursor of the following slice.
func (c sweepCursor) next() sweepCursor {
	if c.Slice+1 < sliceCount {
		return sweepCursor{Bucket: c.Bucket, Slice: c.Slice + 1}
	}
	return sweepCursor{Bucket: c.Bucket + 1}
}

func (c sweepCursor) prefix() string { return bucketPrefix(c.Bucket) + fmt.Sprintf("%02x/", c.Slice) }

// Name implements sesamepitch.Sweeper.
func (j *Journal) Name() string { return "calls" }

// Sweep implements sesamepitch.Sweeper. It removes the buckets that no daemon reads any
// more, slice by slice, so that no read of the table is large.
func (j *Journal) Sweep(ctx context.Context, limit int) (int, error) {
	var cursor sweepCursor
	version, err := rowstore.Read(ctx, j.table, sweptKey, &cursor)
	if err != nil {
		return 0, err
	}
	oldest := bucketOf(j.clock.Now()) - keptBuckets
	if version == 0 {
		cursor = sweepCursor{Bucket: oldest - 1}
	}
	removed, start := 0, cursor
	for range sliceCount {
		if cursor.Bucket >= oldest || removed >= limit {
			break
		}
		count, err := j.sweepSlice(ctx, cursor)
		if err != nil {
			return removed, err
		}
		removed += count
		cursor = cursor.next()
	}
	if cursor == start && version != 0 {
		return removed, nil
	}
	_, err = j.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: sweptKey, Version: version}},
		Writes: []sesamepitch.Write{{Key: sweptKey, Value: rowstore.Encode(cursor)}},
	})
	return removed, err
}

func (j *Journal) sweepSlice(ctx context.Context, cursor sweepCursor) (int, error) {
	rows, err := j.table.List(ctx, cursor.prefix())
	if err != nil {
		return 0, err
	}
	return len(rows), rowstore.DeleteRows(ctx, j.table, sesamepitch.KeysOf(rows))
}
