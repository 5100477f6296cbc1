package ratelimit

import (
	"context"
	"net/rpc"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/lease"
	"sesamepitch/src/supervisor"
)

const serviceName = "RateLimit"

// Question asks the granter for a request to an endpoint.
type Question struct {
	// Statement is what the asking instance knows of the endpoint.
	Statement Statement
	// PerSecond is the rate by which it must be granted, Patience how long it can
	// wait.
	PerSecond float64
	Patience  time.Duration
}

// Grant is the granter's reply.
type Grant struct {
	// NotGranter is set if the instance does not hold the lease.
	NotGranter bool
	Granted    bool
	// Wait is the time until a granted request may be sent, or until one will be
	// granted.
	Wait time.Duration
	// Statement is what the granter knows of the endpoint.
	Statement Statement
}

// Service serves the calls of other instances.
type Service struct{ gate *Gate }

// Register adds the service to an RPC server.
func Register(server *rpc.Server, gate *Gate) error {
	return server.RegisterName(serviceName, &Service{gate: gate})
}

// Ask answers a question.
func (s *Service) Ask(question Question, reply *Grant) error {
	return supervisor.Guard(func() error {
		*reply = s.gate.answer(question)
		return nil
	})
}

// Tell receives a statement that another instance has heard.
func (s *Service) Tell(said Statement, _ *struct{}) error {
	return supervisor.Guard(func() error {
		s.gate.statements.Merge([]Statement{said})
		return nil
	})
}

// answer answers a question as the granter.
func (g *Gate) answer(question Question) Grant {
	id := question.Statement.process()
	g.statements.Merge([]Statement{question.Statement})
	perSecond := g.statements.perSecond(id)
	if perSecond == 0 || question.PerSecond < perSecond {
		perSecond = question.PerSecond
	}
	if perSecond < minRate || perSecond >= maxRate {
		return Grant{NotGranter: true}
	}
	wait, err := g.grant(id, perSecond, question.Patience)
	return Grant{
		NotGranter: err == errNotGranter, Granted: err == nil, Wait: wait, Statement: g.statements.of(id),
	}
}

// ask asks the granter. It fails with errDenied if the request is not granted, and
// with another error if the granter gave no answer.
func (g *Gate) ask(ctx context.Context, id process, perSecond float64, patience time.Duration) (time.Duration, error) {
	record := g.lease.Record()
	if record.Address == "" || record.Holder == "" || !g.mayAsk(record.Epoch) {
		return 0, errNoGranter
	}
	callCtx, cancel := context.WithTimeout(ctx, granterTimeout)
	defer cancel()
	question := Question{Statement: g.statements.of(id), PerSecond: perSecond, Patience: patience}
	var reply Grant
	err := g.peers.Call(callCtx, record.Address, serviceName+".Ask", question, &reply)
	if err == nil && reply.NotGranter {
		err = errNotGranter
	}
	if err != nil {
		if ctx.Err() == nil { // else the request has ended, which says nothing of the granter
			g.granterFailed(record, err)
		}
		return 0, &Error{Op: "ask " + record.Holder, Kind: sesamepitch.KindOf(err), Err: err}
	}
	g.statements.Merge([]Statement{reply.Statement})
	if !reply.Granted {
		return reply.Wait, errDenied
	}
	return reply.Wait, nil
}

// mayAsk reports whether the granter of an epoch may be asked.
func (g *Gate) mayAsk(epoch int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return epoch != g.failedEpoch || !g.clock.Now().Before(g.askAgainAt)
}

// granterFailed keeps the granter from being asked for a while.
func (g *Gate) granterFailed(granter lease.Record, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failedEpoch, g.askAgainAt = granter.Epoch, g.clock.Now().Add(granterRetryDelay)
	g.log.Info("granter of requests not available", "instance", granter.Holder, "epoch", granter.Epoch, "cause", err.Error())
}

// Run tells the granter what this instance hears of limits, and the granter's
// instance when to publish, until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	for {
		select {
		case said := <-g.news:
			g.tell(ctx, said)
		case <-g.statements.changed:
			if _, _, held := g.lease.Held(); held {
				supervisor.Wake(g.share)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (g *Gate) tell(ctx context.Context, said Statement) {
	record := g.lease.Record()
	if _, _, held := g.lease.Held(); held || record.Address == "" {
		return // the granter itself, or none: the next one hears of it with a question
	}
	ctx, cancel := context.WithTimeout(ctx, granterTimeout)
	defer cancel()
	var reply struct{}
	if err := g.peers.Call(ctx, record.Address, serviceName+".Tell", said, &reply); err != nil {
		g.log.Info("news of a limit not delivered", "endpoint", said.ID, "instance", record.Holder, "cause", err.Error())
	}
}

// Share returns the statements that this instance publishes to all others: those
// of the granter.
func (g *Gate) Share() []Statement {
	if _, _, held := g.lease.Held(); !held {
		return nil
	}
	return g.statements.All()
}

// Receive applies the statements that another instance publishes.
func (g *Gate) Receive(statements []Statement) { g.statements.Merge(statements) }

// Changed returns a channel that receives when Share has something new.
func (g *Gate) Changed() <-chan struct{} { return g.share }

// Limited returns the number of endpoints with a limit.
func (g *Gate) Limited() int { return g.statements.Limited() }
