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
	headKey          = "config/head"
	deltaPrefix      = "config/delta/"
	retainedDeltas   = 200
	maxApplyAttempts = 8
	// maxDeltaBytes is the maximum size of a delta with changes. Above it, readers
	// load the full document instead.
	maxDeltaBytes = 64 << 10
)

// errGap means that a delta is missing or that the digest does not match.
var errGap = errors.New("a delta does not lead to its digest")

// Head is the table row of the newest accepted version.
type Head struct {
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
}

// Store stores the versions of the document on the platform: the head and the
// recent deltas in the table, the full document of each version in the object
// store.
type Store struct {
	table   sesamepitch.Table
	objects sesamepitch.Objects
}

// NewStore returns a Store on the platform.
func NewStore(p sesamepitch.Platform) *Store {
	return &Store{table: p, objects: p.Objects()}
}

func deltaKey(version int64) string { return fmt.Sprintf("%s%012d", deltaPrefix, version) }

func objectName(digest string) string { return "config-" + digest }

// Head reads the head row; its version is zero if none was accepted yet.
func (s *Store) Head(ctx context.Context) (Head, error) {
	var head Head
	_, err := rowstore.Read(ctx, s.table, headKey, &head)
	return head, err
}

// ReadSince returns the deltas after a configuration and the newest
// configuration. If a delta is missing or the digest is wrong, it loads the full
// document and returns no deltas.
func (s *Store) ReadSince(ctx context.Context, from *Config) ([]Delta, *Config, error) {
	head, err := s.Head(ctx)
	if err != nil || head.Version <= from.Version() {
		return nil, from, err
	}
	deltas, next, err := s.readDeltas(ctx, from, head)
	if err == nil {
		return deltas, next, nil
	}
	full, err := s.load(ctx, head)
	if err != nil {
		return nil, from, err
	}
	return nil, NewConfig(head.Version, full), nil
}

func (s *Store) readDeltas(ctx context.Context, from *Config, head Head) ([]Delta, *Config, error) {
	if from.Version() == 0 || head.Version-from.Version() > retainedDeltas {
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

// ApplyDeltas applies consecutive deltas to a configuration and verifies the
// digest. It skips deltas that the configuration already includes.
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

// Accept commits edited, which was edited from base, as the next version. If
// other items were changed since base, both changes are merged; if the same item
// was changed differently, it fails with KindConflict and names the item. base
// may be nil if edited is the first version.
func (s *Store) Accept(ctx context.Context, base *Config, edited Document, author string) (*Config, error) {
	if err := Check(edited); err != nil {
		return nil, err
	}
	uncertain := false
	for range maxApplyAttempts {
		next, err := s.acceptOnce(ctx, base, edited, author)
		if err == nil || sesamepitch.KindOf(err) != sesamepitch.KindConflict || !isWriteConflict(err) {
			return next, err
		}
		uncertain = uncertain || errors.Is(err, errUncertain)
	}
	if uncertain {
		return nil, &Error{Op: "document.apply", Kind: sesamepitch.KindUnknown, Err: errUncertain}
	}
	return nil, &Error{Op: "document.apply", Kind: sesamepitch.KindUnavailable, Err: errors.New("too many changes at the same time; apply again")}
}

// errUncertain means that a commit has not taken effect so far, but still may
// later.
var errUncertain = errors.New("a change may still take effect; read the document before it is applied again")

// isWriteConflict reports whether a conflict is a concurrent write of the head,
// which is retried, rather than conflicting changes of an item.
func isWriteConflict(err error) bool {
	var conflict *rowstore.Error
	return errors.As(err, &conflict)
}

func (s *Store) acceptOnce(ctx context.Context, base *Config, edited Document, author string) (*Config, error) {
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
	merged, err := mergeOnto(base, edited, head, current)
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

func mergeOnto(base *Config, edited Document, head Head, current Document) (Document, error) {
	switch {
	case base == nil && head.Version > 0:
		return Document{}, &Error{
			Op: "document.apply", Kind: sesamepitch.KindConflict,
			Err: fmt.Errorf("version %d is in force; name the version that your document was made from", head.Version),
		}
	case base == nil || base.Version() == head.Version:
		return edited, nil
	default:
		return Merge(base.Document(), edited, current)
	}
}

func (s *Store) commit(ctx context.Context, head Head, headVersion int64, merged Document, changes []Change, author string) (*Config, error) {
	digest := merged.Digest()
	if err := s.objects.Put(ctx, objectName(digest), rowstore.Encode(merged)); err != nil {
		return nil, err
	}
	next := Head{Version: head.Version + 1, Digest: digest}
	delta := Delta{Version: next.Version, Digest: digest, Author: author, Changes: changes}
	if len(rowstore.Encode(delta)) > maxDeltaBytes {
		// Without changes the digest does not match, so that readers load the full
		// document instead.
		delta.Changes = nil
	}
	_, err := s.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: headKey, Version: headVersion}},
		Writes: []sesamepitch.Write{
			{Key: headKey, Value: rowstore.Encode(next)},
			{Key: deltaKey(next.Version), Value: rowstore.Encode(delta)},
			{Key: deltaKey(next.Version - retainedDeltas), Delete: true},
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

// confirm reads whether a commit whose response was lost has taken effect.
func (s *Store) confirm(ctx context.Context, delta Delta, cause error) error {
	var stored Delta
	version, err := rowstore.Read(ctx, s.table, deltaKey(delta.Version), &stored)
	switch {
	case err != nil:
		return cause
	case version == 0:
		return &rowstore.Error{Op: "document.confirm", Kind: sesamepitch.KindConflict, Err: fmt.Errorf("%w: %w", errUncertain, cause)}
	case stored.Digest == delta.Digest && stored.Author == delta.Author:
		return nil
	default:
		return &rowstore.Error{Op: "document.confirm", Kind: sesamepitch.KindConflict, Err: cause}
	}
}

// ReadVersion returns the configuration of the newest or a recent version, found
// by the digest in its delta. It returns nil for version 0.
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
