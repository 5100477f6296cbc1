package document

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
)

const (
	headKey      = "config/head"
	deltaPrefix  = "config/delta/"
	keptDeltas   = 200
	applyRetries = 8
	// maxDelta is the size of a delta, in bytes, above which the whole is read.
	maxDelta = 64 << 10
)

var errGap = errors.New("a delta does not lead to its digest")

// Head is the table's row of the accepted version.
type Head struct {
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
}

// Store keeps the document's versions in the platform: the head and recent
// deltas in the table, each whole version in the object store.
type Store struct {
	table   sesamepitch.Table
	objects sesamepitch.Objects
}

// NewStore returns the store on a platform.
func NewStore(p sesamepitch.Platform) *Store {
	return &Store{table: p, objects: p.Objects()}
}

func deltaKey(version int64) string { return fmt.Sprintf("%s%012d", deltaPrefix, version) }

func objectName(digest string) string { return "config-" + digest }

// Head reads the accepted version.
func (s *Store) Head(ctx context.Context) (Head, error) {
	var head Head
	_, err := rowstore.Read(ctx, s.table, headKey, &head)
	return head, err
}

// ReadSince returns the deltas after a configuration and the configuration that
// they lead to. A gap or a wrong digest is mended by reading the whole.
func (s *Store) ReadSince(ctx context.Context, from *Config) ([]Delta, *Config, error) {
	head, err := s.Head(ctx)
	if err != nil || head.Version <= from.Version() {
		return nil, from, err
	}
	deltas, next, err := s.followDeltas(ctx, from, head)
	if err == nil {
		return deltas, next, nil
	}
	whole, err := s.load(ctx, head)
	if err != nil {
		return nil, from, err
	}
	return nil, NewConfig(head.Version, whole), nil
}

func (s *Store) followDeltas(ctx context.Context, from *Config, head Head) ([]Delta, *Config, error) {
	if from.Version() == 0 || head.Version-from.Version() > keptDeltas {
		return nil, nil, errGap
	}
	var deltas []Delta
	for version := from.Version() + 1; version <= head.Version; version++ {
		var delta Delta
		stored, err := rowstore.Read(ctx, s.table, deltaKey(version), &delta)
		if err != nil {
			return nil, nil, err
		}
		if stored == 0 {
			return nil, nil, errGap
		}
		deltas = append(deltas, delta)
	}
	next, err := ApplyDeltas(from, deltas)
	return deltas, next, err
}

// ApplyDeltas applies consecutive deltas and verifies the digest.
func ApplyDeltas(from *Config, deltas []Delta) (*Config, error) {
	d := from.Document()
	version := from.Version()
	digest := from.Digest()
	for _, delta := range deltas {
		if delta.Version <= version {
			continue
		}
		if delta.Version != version+1 {
			return nil, errGap
		}
		next, err := Apply(d, delta.Changes)
		if err != nil {
			return nil, err
		}
		d, version, digest = next, delta.Version, delta.Digest
	}
	if d.Digest() != digest {
		return nil, errGap
	}
	return NewConfig(version, d), nil
}

func (s *Store) load(ctx context.Context, head Head) (Document, error) {
	content, err := s.objects.Get(ctx, objectName(head.Digest))
	if err != nil {
		return Document{}, err
	}
	var d Document
	if err := json.Unmarshal(content, &d); err != nil {
		return Document{}, &Error{Op: "document.load", Kind: sesamepitch.KindInternal, Err: err}
	}
	return d, nil
}

// Accept makes mine, which was made from the base configuration, the next
// version. Where other teams changed other items since, both changes hold.
// base may be nil if mine is the first version. KindConflict names the item
// that both changed.
func (s *Store) Accept(ctx context.Context, base *Config, mine Document, author string) (*Config, error) {
	if err := Check(mine); err != nil {
		return nil, err
	}
	unsettled := false
	for range applyRetries {
		next, err := s.acceptOnce(ctx, base, mine, author)
		if err == nil || sesamepitch.KindOf(err) != sesamepitch.KindConflict || !isRace(err) {
			return next, err
		}
		unsettled = unsettled || errors.Is(err, errUnsettled)
	}
	if unsettled {
		return nil, &Error{Op: "document.apply", Kind: sesamepitch.KindUnknown, Err: errUnsettled}
	}
	return nil, &Error{Op: "document.apply", Kind: sesamepitch.KindUnavailable, Err: errors.New("too many changes at the same time; apply again")}
}

// errUnsettled means that a commit has not taken effect so far and may do so
// later.
var errUnsettled = errors.New("a change may still take effect; read the document before it is applied again")

// isRace tells a lost race for the head, which is tried again, from a
// conflict of content.
func isRace(err error) bool {
	var lost *rowstore.Error
	return errors.As(err, &lost)
}

func (s *Store) acceptOnce(ctx context.Context, base *Config, mine Document, author string) (*Config, error) {
	var head Head
	headVersion, err := rowstore.Read(ctx, s.table, headKey, &head)
	if err != nil {
		return nil, err
	}
	current := Document{}
	if head.Version > 0 {
		if current, err = s.load(ctx, head); err != nil {
			return nil, err
		}
	}
	merged, err := mergeOnto(base, mine, head, current)
	if err != nil {
		return nil, err
	}
	changes := Diff(current, merged)
	if len(changes) == 0 {
		return NewConfig(head.Version, current), nil
	}
	if err := Check(merged); err != nil {
		return nil, err
	}
	return s.commit(ctx, head, headVersion, merged.Sorted(), changes, author)
}

func mergeOnto(base *Config, mine Document, head Head, current Document) (Document, error) {
	switch {
	case base == nil && head.Version > 0:
		return Document{}, &Error{
			Op: "document.apply", Kind: sesamepitch.KindConflict,
			Err: fmt.Errorf("version %d is in force; name the version that your document was made from", head.Version),
		}
	case base == nil || base.Version() == head.Version:
		return mine, nil
	default:
		return Merge(base.Document(), mine, current)
	}
}

func (s *Store) commit(ctx context.Context, head Head, headVersion int64, merged Document, changes []Change, author string) (*Config, error) {
	digest := merged.Digest()
	if err := s.objects.Put(ctx, objectName(digest), rowstore.Encode(merged)); err != nil {
		return nil, err
	}
	next := Head{Version: head.Version + 1, Digest: digest}
	delta := Delta{Version: next.Version, Digest: digest, Author: author, Changes: changes}
	if len(rowstore.Encode(delta)) > maxDelta {
		// It leads to no digest, so that everybody reads the whole instead.
		delta.Changes = nil
	}
	_, err := s.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: headKey, Version: headVersion}},
		Writes: []sesamepitch.Write{
			{Key: headKey, Value: rowstore.Encode(next)},
			{Key: deltaKey(next.Version), Value: rowstore.Encode(delta)},
			{Key: deltaKey(next.Version - keptDeltas), Delete: true},
		},
	})
	if sesamepitch.KindOf(err) == sesamepitch.KindUnknown {
		err = s.confirm(ctx, delta, err)
	}
	if err != nil {
		return nil, err
	}
	return NewConfig(next.Version, merged), nil
}

// confirm reads back whether a commit with a lost answer took effect.
func (s *Store) confirm(ctx context.Context, delta Delta, cause error) error {
	var stored Delta
	version, err := rowstore.Read(ctx, s.table, deltaKey(delta.Version), &stored)
	switch {
	case err != nil:
		return cause
	case version == 0:
		return &rowstore.Error{Op: "document.confirm", Kind: sesamepitch.KindConflict, Err: fmt.Errorf("%w: %w", errUnsettled, cause)}
	case stored.Digest == delta.Digest && stored.Author == delta.Author:
		return nil
	default:
		return &rowstore.Error{Op: "document.confirm", Kind: sesamepitch.KindConflict, Err: cause}
	}
}

// ReadVersion reads the configuration of a version from the recent deltas' digests.
func (s *Store) ReadVersion(ctx context.Context, version int64) (*Config, error) {
	if version == 0 {
		return nil, nil
	}
	head, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	digest := head.Digest
	if version != head.Version {
		var delta Delta
		stored, err := rowstore.Read(ctx, s.table, deltaKey(version), &delta)
		if err != nil {
			return nil, err
		}
		if stored == 0 {
			return nil, &Error{Op: "document.base", Kind: sesamepitch.KindNotFound, Err: fmt.Errorf("version %d is not kept", version)}
		}
		digest = delta.Digest
	}
	d, err := s.load(ctx, Head{Version: version, Digest: digest})
	if err != nil {
		return nil, err
	}
	return NewConfig(version, d), nil
}
