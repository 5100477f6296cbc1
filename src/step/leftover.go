package step

import (
	"context"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/supervisor"
)

const leftoverEvery = 500 * time.Millisecond

// leftover is what a step's trainer has got and the table still lacks after
// the trainer has gone.
type leftover struct {
	ledger  *ledger
	entries []*entry
}

// leave takes the undelivered part of a backlog out and keeps the rest.
func (m *Manager) leave(l *ledger, backlog []*entry) {
	kept := &leftover{ledger: l}
	for _, e := range backlog {
		if e.passed {
			kept.entries = append(kept.entries, e)
		}
	}
	if len(kept.entries) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.left = append(m.left, kept)
}

// PendingBatches counts the batches that wait for the table without a trainer.
func (m *Manager) PendingBatches() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, l := range m.left {
		count += len(l.entries)
	}
	return count
}

// Workers returns the manager's supervised task.
func (m *Manager) Workers() []supervisor.Worker {
	return []supervisor.Worker{
		supervisor.NewWorker("step-leftovers", func(ctx context.Context) error {
			return supervisor.Every(ctx, m.clock, leftoverEvery, m.CommitPending)
		}),
	}
}

// CommitPending tries once to commit what was left.
func (m *Manager) CommitPending(ctx context.Context) {
	m.mu.Lock()
	left := m.left
	m.left = nil
	m.mu.Unlock()
	for _, l := range left {
		m.commitLeft(ctx, l)
	}
}

func (m *Manager) commitLeft(ctx context.Context, l *leftover) {
	for len(l.entries) > 0 {
		err := m.commitOne(ctx, l.ledger, l.entries[0])
		if sesamepitch.KindOf(err) == sesamepitch.KindConflict {
			// A later driver has the step; its own commits count.
			m.log.Info("leftover superseded", "trainer", l.ledger.spec.Trainer, "step", l.ledger.spec.Step, "samples", len(l.entries[0].samples))
			return
		}
		if err != nil {
			m.mu.Lock()
			m.left = append(m.left, l)
			m.mu.Unlock()
			return
		}
		l.entries = l.entries[1:]
	}
}

func (m *Manager) commitOne(ctx context.Context, l *ledger, e *entry) error {
	if !l.claimed() {
		if err := l.claim(ctx); err != nil {
			return err
		}
	}
	return l.commit(ctx, e)
}
