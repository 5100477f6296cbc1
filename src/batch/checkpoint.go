package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
)

const checkpointTable = "progress"

// MaxCheckpoints and MaxCheckpointBytes limit the checkpoints that one Append
// stores beside results.
const (
	MaxCheckpoints     = 24
	MaxCheckpointBytes = 120_000
)

// Checkpoint is a part of an item's partial output, stored so that another process
// can take over the job and continue the output.
type Checkpoint struct {
	// Item is the item's index in its job.
	Item int `json:"-"`
	// Attempt numbers the outputs of one item that do not continue each other; a
	// later output has a higher number.
	Attempt int64 `json:"-"`
	// From is the index of the first event in the output.
	From   int      `json:"-"`
	Events []string `json:"events"`
	// Versions are the weight versions that generated the events, one for each.
	Versions []int64 `json:"versions"`
	// Complete is set on the part with the output's last event.
	Complete bool `json:"complete,omitempty"`
}

// Size returns the size of the events in a row, in bytes.
func (c Checkpoint) Size() int {
	size := 0
	for _, event := range c.Events {
		size += EncodedSize(event)
	}
	return size
}

// EncodedSize returns the size of an event in a row, in bytes: JSON escapes some
// characters.
func EncodedSize(event string) int {
	const quotes = 2
	return len(rowstore.Encode(event)) - quotes
}

func checkpointKey(id string, c Checkpoint) string {
	return checkpointPrefix(id, c.Item) + fmt.Sprintf("%015d/%06d", c.Attempt, c.From)
}

// checkpointPrefix returns the prefix of the keys of an item's checkpoints.
func checkpointPrefix(id string, item int) string {
	return fmt.Sprintf("%s/%s/%05d/", checkpointTable, id, item)
}

// CheckpointSize returns the approximate number of bytes of events that fit into
// one Checkpoint.
func (l *Ledger) CheckpointSize() int { return l.chunkBytes / 2 }

func checkpointWrites(id string, checkpoints []Checkpoint) []sesamepitch.Write {
	var writes []sesamepitch.Write
	for _, c := range checkpoints {
		writes = append(writes, sesamepitch.Write{Key: checkpointKey(id, c), Value: rowstore.Encode(c)})
	}
	return writes
}

// maxItemReads is the number of items whose checkpoints are read one by one; for
// more of them, all checkpoints of the job are read at once.
const maxItemReads = 12

// Checkpoints returns the partial output of the latest attempt of each of the items,
// joined from its checkpoints, by the item's index. Few items are read one by one,
// which spares the checkpoints of all that are finished. A row that cannot be
// decoded is left out and its error is among the faults; the parts behind it are of
// no use, either.
func (l *Ledger) Checkpoints(ctx context.Context, id string, items []int) (outputs map[int]Checkpoint, faults []error, err error) {
	prefixes := []string{checkpointTable + "/" + id + "/"}
	if len(items) <= maxItemReads {
		prefixes = nil
		for _, item := range items {
			prefixes = append(prefixes, checkpointPrefix(id, item))
		}
	}
	rows, err := l.listAll(ctx, prefixes)
	if err != nil {
		return nil, nil, &Error{Op: "batch.progress", Kind: sesamepitch.KindUnavailable, Err: err}
	}
	outputs = map[int]Checkpoint{}
	for _, row := range rows {
		part, err := decodeCheckpoint(row)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		outputs[part.Item] = joinCheckpoints(outputs[part.Item], part)
	}
	return outputs, faults, nil
}

// listAll reads the rows of all prefixes concurrently, those of each in order.
func (l *Ledger) listAll(ctx context.Context, prefixes []string) ([]sesamepitch.Row, error) {
	type outcome struct {
		rows []sesamepitch.Row
		err  error
	}
	outcomes := make(chan outcome, len(prefixes))
	for _, prefix := range prefixes {
		go func() {
			rows, err := l.store.List(ctx, prefix)
			outcomes <- outcome{rows, err}
		}()
	}
	var all []sesamepitch.Row
	var failure error
	for range prefixes {
		o := <-outcomes
		all = append(all, o.rows...)
		failure = errors.Join(failure, o.err)
	}
	return all, failure
}

// joinCheckpoints appends a part to an output of the same attempt; the first part
// of a later attempt replaces the output, and parts that do not continue it are
// ignored. Parts must be passed in the order of their keys.
func joinCheckpoints(output, part Checkpoint) Checkpoint {
	if part.Attempt > output.Attempt && part.From == 0 {
		return part
	}
	if part.Attempt != output.Attempt || part.From != len(output.Events) {
		return output
	}
	output.Events = append(output.Events, part.Events...)
	output.Versions = append(output.Versions, part.Versions...)
	output.Complete = part.Complete
	return output
}

func decodeCheckpoint(row sesamepitch.Row) (Checkpoint, error) {
	var part Checkpoint
	fields := strings.Split(row.Key, "/")
	numbers := make([]int64, 0, 3)
	for _, field := range fields[min(2, len(fields)):] {
		number, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return part, &Error{Op: "batch.progress " + row.Key, Kind: sesamepitch.KindInternal, Err: err}
		}
		numbers = append(numbers, number)
	}
	if len(numbers) != 3 {
		return part, &Error{Op: "batch.progress " + row.Key, Kind: sesamepitch.KindInternal}
	}
	if err := json.Unmarshal(row.Value, &part); err != nil {
		return part, &Error{Op: "batch.progress " + row.Key, Kind: sesamepitch.KindInternal, Err: err}
	}
	part.Item, part.Attempt, part.From = int(numbers[0]), numbers[1], int(numbers[2])
	return part, nil
}
