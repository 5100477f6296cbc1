package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
)

const progressTable = "progress"

// MaxCheckpoints and MaxCheckpointBytes bound the parts of texts that one Append keeps
// beside results.
const (
	MaxCheckpoints     = 24
	MaxCheckpointBytes = 120_000
)

// Checkpoint is a part of an item's text that is not whole yet, kept for a
// process that takes the job over.
type Checkpoint struct {
	// Item is the item's index in its job.
	Item int `json:"-"`
	// Attempt tells texts of one item apart that do not continue each other; a
	// later text has a higher one.
	Attempt int64 `json:"-"`
	// From is the index of the first event.
	From   int      `json:"-"`
	Events []string `json:"events"`
	// Versions are the weight versions that made the events, one for each.
	Versions []int64 `json:"versions"`
}

// Size returns the number of bytes of the part's events.
func (p Checkpoint) Size() int {
	size := 0
	for _, event := range p.Events {
		size += len(event)
	}
	return size
}

func progressKey(id string, p Checkpoint) string {
	return fmt.Sprintf("%s/%s/%05d/%015d/%06d", progressTable, id, p.Item, p.Attempt, p.From)
}

// CheckpointSize is about how many bytes of events fit into one Progress.
func (l *Ledger) CheckpointSize() int { return l.chunkBytes / 2 }

func progressWrites(id string, progress []Checkpoint) []sesamepitch.Write {
	var writes []sesamepitch.Write
	for _, p := range progress {
		writes = append(writes, sesamepitch.Write{Key: progressKey(id, p), Value: rowstore.Encode(p)})
	}
	return writes
}

// Checkpoints returns for each item the newest text that was kept.
func (l *Ledger) Checkpoints(ctx context.Context, id string) (map[int]Checkpoint, error) {
	rows, err := l.store.List(ctx, progressTable+"/"+id+"/")
	if err != nil {
		return nil, &Error{Op: "batch.progress", Kind: sesamepitch.KindUnavailable, Err: err}
	}
	texts := map[int]Checkpoint{}
	for _, row := range rows {
		part, err := decodeProgress(row)
		if err != nil {
			return nil, err
		}
		texts[part.Item] = joinProgress(texts[part.Item], part)
	}
	return texts, nil
}

// joinProgress appends a part to a text of the same lineage; the first part of
// a later lineage replaces the text. Parts come in the order of their keys.
func joinProgress(text, part Checkpoint) Checkpoint {
	if part.Attempt > text.Attempt && part.From == 0 {
		return part
	}
	if part.Attempt != text.Attempt || part.From != len(text.Events) {
		return text
	}
	text.Events = append(text.Events, part.Events...)
	text.Versions = append(text.Versions, part.Versions...)
	return text
}

func decodeProgress(row sesamepitch.Row) (Checkpoint, error) {
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
