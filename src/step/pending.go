package step

import (
	"context"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/supervisor"
)

const pendingCommitInterval = 500 * time.Millisecond

// pendingCommits holds the batches that were delivered but not committed when the
// step's driver ended.
type pendingCommits struct {
	ledger  *ledger
	batches []*pendingBatch
}

// keepUncommitted keeps the delivered batches of an ended driver's backlog, to be
// committed later. The others are dropped, since the trainer does not have them.
func (m *Manager) keepUncommitted(l *ledger, backlog []*pendingBatch) {
	kept := &pendingCommits{ledger: l}
	for _, batch := range backlog {
		if batch.delivered {
			kept.batches = append(kept.batches, batch)
		}
	}
	if len(kept.batches) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending = append(m.pending, kept)
}

// PendingBatches returns the number of batches that are still to be committed after
// their driver ended.
func (m *Manager) PendingBatches() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, p := range m.pending {
		count += len(p.batches)
	}
	return count
}

// Workers returns the manager's supervised task.
func (m *Manager) Workers() []supervisor.Worker {
	return []supervisor.Worker{
		supervisor.NewWorker("step-leftovers", func(ctx context.Context) error {
			return supervisor.Every(ctx, m.clock, pendingCommitInterval, m.CommitPending)
		}),
	}
}

// CommitPending tries once to commit the batches of ended drivers.
func (m *Manager) CommitPending(ctx context.Context) {
	m.mu.Lock()
	pending := m.pending
	m.pending = nil
	m.mu.Unlock()
	for _, p := range pending {
		m.commitAll(ctx, p)
	}
}

// commitAll commits batches in order. On a failure it keeps the rest for the next try.
func (m *Manager) commitAll(ctx context.Context, p *pendingCommits) {
	for len(p.batches) > 0 {
		err := m.commitBatch(ctx, p.ledger, p.batches[0])
		if sesamepitch.KindOf(err) == sesamepitch.KindConflict {
			// A later driver has claimed the step and commits the samples itself.
			m.log.Info("pending batches dropped: step claimed by another driver", "trainer", p.ledger.spec.Trainer, "step", p.ledger.spec.Step, "samples", len(p.batches[0].samples))
			return
		}
		if err != nil {
			m.mu.Lock()
			m.pending = append(m.pending, p)
			m.mu.Unlock()
			return
		}
		p.batches = p.batches[1:]
	}
}

func (m *Manager) commitBatch(ctx context.Context, l *ledger, batch *pendingBatch) error {
	if !l.claimed() {
		if err := l.claim(ctx); err != nil {
			return err
		}
	}
	return l.commit(ctx, batch)
}
