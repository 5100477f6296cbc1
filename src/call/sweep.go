package call

import (
	"context"
	"fmt"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
)

const (
	// keptBuckets is how many buckets before this one are kept: the one before,
	// and another one for daemons whose clocks are behind.
	keptBuckets = 2
	sliceCount  = 256
	sweptKey    = "swept/call"
)

// swept is how far the rows are removed: up to a slice of a bucket.
type swept struct {
	Bucket int64 `json:"bucket"`
	Slice  int   `json:"slice"`
}

// next returns the slice after this one.
func (s swept) next() swept {
	if s.Slice+1 < sliceCount {
		return swept{Bucket: s.Bucket, Slice: s.Slice + 1}
	}
	return swept{Bucket: s.Bucket + 1}
}

func (s swept) prefix() string { return bucketPrefix(s.Bucket) + fmt.Sprintf("%02x/", s.Slice) }

// Name implements sesamepitch.Sweeper.
func (j *Journal) Name() string { return "calls" }

// Sweep implements sesamepitch.Sweeper. It removes buckets that no daemon reads
// any more, slice by slice, so that no read of the table is large.
func (j *Journal) Sweep(ctx context.Context, limit int) (int, error) {
	var at swept
	version, err := rowstore.Read(ctx, j.table, sweptKey, &at)
	if err != nil {
		return 0, err
	}
	oldest := bucketOf(j.clock.Now()) - keptBuckets
	if version == 0 {
		at = swept{Bucket: oldest - 1}
	}
	removed, begun := 0, at
	for range sliceCount {
		if at.Bucket >= oldest || removed >= limit {
			break
		}
		count, err := j.sweepSlice(ctx, at)
		if err != nil {
			return removed, err
		}
		removed += count
		at = at.next()
	}
	if at == begun && version != 0 {
		return removed, nil
	}
	_, err = j.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: sweptKey, Version: version}},
		Writes: []sesamepitch.Write{{Key: sweptKey, Value: rowstore.Encode(at)}},
	})
	return removed, err
}

func (j *Journal) sweepSlice(ctx context.Context, at swept) (int, error) {
	rows, err := j.table.List(ctx, at.prefix())
	if err != nil {
		return 0, err
	}
	return len(rows), rowstore.DeleteRows(ctx, j.table, sesamepitch.KeysOf(rows))
}
