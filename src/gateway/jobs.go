package gateway

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/registry"
)

const (
	// acceptTimeout bounds the acceptance of a job.
	acceptTimeout = 3 * time.Second
	// endTimeout bounds the end of a job.
	endTimeout = 3 * time.Second
	// readTimeout bounds one read of a job, beside its wait.
	readTimeout = 2 * time.Second
	// pollInterval is the time between looks of a waiting read.
	pollInterval = 40 * time.Millisecond
	// A waiting read is answered at once if it brings all that its trainer waits
	// for. Else it gathers for longPollMin, which is just under the time to the
	// trainer's next read, and then until no other result has come for
	// gatherQuiet, gatherMost after the first one at the latest: texts of equal
	// length end together.
	longPollMin       = 450 * time.Millisecond
	longPollQuiet     = 80 * time.Millisecond
	longPollGatherMax = 250 * time.Millisecond
	// deadlineGrace is how long after results are due they still count in full, less
	// the way to the trainer. From then on each one is answered at once.
	deadlineGrace = 650 * time.Millisecond
)

// Submit accepts a batch job once and whole.
func (g *Gateway) Submit(ctx context.Context, admission Admission, job batch.Job) error {
	start := g.clock.Now()
	err := g.submit(ctx, admission, job, start)
	g.log.Info("job submitted", "job", job.ID, "route", admission.Route.Name, "workspace", admission.Workspace,
		"config", admission.Config, "step", job.Step, "model", job.Model, "min_version", job.MinVersion,
		"items", len(job.Items), "ms", g.clock.Now().Sub(start).Milliseconds(), "outcome", outcome(err))
	return err
}

func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}

func (g *Gateway) submit(ctx context.Context, admission Admission, job batch.Job, now time.Time) error {
	if admission.Route.Kind != registry.Rollout {
		return &Refusal{Kind: sesamepitch.KindInvalid, Err: errNotRollout}
	}
	if faults := job.Faults(); len(faults) > 0 {
		return &Refusal{Kind: sesamepitch.KindInvalid, Err: errors.New(strings.Join(faults, "; "))}
	}
	job.Workspace = admission.Workspace
	job.Route = admission.Route.Name
	job.Submitted = now
	// A caller that leaves does not undo what the table may have taken.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), acceptTimeout)
	defer cancel()
	ctx, done, err := g.withStore(ctx)
	if err != nil {
		return err
	}
	defer done()
	err = g.ledger.Accept(ctx, job)
	switch sesamepitch.KindOf(err) {
	case "":
		g.notifyDriver(ctx, job.ID, false)
		return nil
	case sesamepitch.KindDenied:
		return &Refusal{Kind: sesamepitch.KindInvalid, Err: err}
	case sesamepitch.KindUnavailable:
		return &Refusal{Kind: sesamepitch.KindUnavailable, Err: err, After: retryLater}
	default:
		return &Refusal{Kind: sesamepitch.KindUnknown, Err: err}
	}
}

// notifyDriver has the driver told of a job that was accepted or ended.
func (g *Gateway) notifyDriver(ctx context.Context, id string, ended bool) {
	header, err := g.ledger.Header(ctx, id)
	if err != nil {
		g.log.Info("driver not told of a job", "job", id, "cause", err.Error())
		return
	}
	header.Ended = header.Ended || ended
	g.notify(header)
}

// readHeader reads the head of a job of a workspace; done must be called once the
// job was read with the returned context.
func (g *Gateway) readHeader(ctx context.Context, workspace, id string) (storeCtx context.Context, done context.CancelFunc, header batch.Header, err error) {
	storeCtx, done, err = g.withStore(ctx)
	if err != nil {
		return ctx, func() {}, header, err
	}
	header, err = g.ownedHeader(storeCtx, workspace, id)
	return storeCtx, done, header, err
}

// ownedHeader checks that a job exists and belongs to the workspace.
func (g *Gateway) ownedHeader(ctx context.Context, workspace, id string) (batch.Header, error) {
	header, err := g.ledger.Header(ctx, id)
	if err != nil {
		return header, asRefusal(err)
	}
	if header.Workspace != workspace {
		return header, &Refusal{Kind: sesamepitch.KindNotFound, Err: fmt.Errorf("job %q is not of this workspace", id)}
	}
	return header, nil
}

func asRefusal(err error) error {
	if err == nil {
		return nil
	}
	if sesamepitch.KindOf(err) == sesamepitch.KindNotFound {
		return &Refusal{Kind: sesamepitch.KindNotFound, Err: err}
	}
	return &Refusal{Kind: sesamepitch.KindUnavailable, Err: err, After: retrySoon}
}

// Read returns the results from a position on. With a wait it is answered when
// that serves its trainer best, the wait's end at the latest.
func (g *Gateway) Read(ctx context.Context, workspace, id string, after int, wait time.Duration) (batch.Page, error) {
	began := g.clock.Now()
	until := began.Add(wait)
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	ctx, done, header, err := g.readHeader(ctx, workspace, id)
	defer done()
	if err != nil {
		g.log.Info("job not read", "job", id, "workspace", workspace, "cause", err.Error())
		return batch.Page{}, err
	}
	poll := longPoll{began: began, deadline: g.resultDeadlineOf(header)}
	for {
		page, err := g.ledger.Read(ctx, id, after)
		if err != nil {
			g.log.Info("job not read", "job", id, "workspace", workspace, "cause", err.Error())
			return page, asRefusal(err)
		}
		now := g.clock.Now()
		if page.Next >= page.Total || !now.Add(pollInterval).Before(until) || poll.shouldAnswer(now, len(page.Results), page.TargetMet()) {
			return page, nil
		}
		select {
		case <-g.clock.After(pollInterval):
		case <-ctx.Done():
			return page, nil
		}
	}
}

// resultDeadlineOf returns when a job's results stop to count in full; zero if its route
// names no time.
func (g *Gateway) resultDeadlineOf(header batch.Header) time.Time {
	config := g.registry.Config()
	if config == nil {
		return time.Time{}
	}
	route, found := config.RouteNamed(header.Route)
	if !found || route.ResultDeadline <= 0 {
		return time.Time{}
	}
	return header.Submitted.Add(route.ResultDeadline + deadlineGrace)
}

// longPoll decides when a waiting read is answered.
type longPoll struct {
	began time.Time
	// deadline is when results stop to count in full; zero for never.
	deadline time.Time
	seen     int
	// firstNewAt and lastNewAt are when results were first and last found to be new.
	firstNewAt, lastNewAt time.Time
}

// shouldAnswer takes a look's number of results, and whether they are all that the
// trainer waits for, and tells whether to answer.
func (p *longPoll) shouldAnswer(now time.Time, count int, targetMet bool) bool {
	if count == 0 {
		return false
	}
	if targetMet || !p.deadline.IsZero() && !now.Before(p.deadline) {
		return true
	}
	if p.seen == 0 {
		p.firstNewAt = now
	}
	if count > p.seen {
		p.seen, p.lastNewAt = count, now
	}
	quiet := now.Sub(p.lastNewAt) >= longPollQuiet || now.Sub(p.firstNewAt) >= longPollGatherMax
	return quiet && now.Sub(p.began) >= longPollMin
}

// ItemBody returns the body of an item.
func (g *Gateway) ItemBody(ctx context.Context, workspace, id, item string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	ctx, done, header, err := g.readHeader(ctx, workspace, id)
	defer done()
	if err != nil {
		return nil, err
	}
	job, err := g.ledger.Job(ctx, header)
	if err != nil {
		return nil, asRefusal(err)
	}
	for _, candidate := range job.Items {
		if candidate.ID == item {
			return candidate.Body, nil
		}
	}
	return nil, &Refusal{Kind: sesamepitch.KindNotFound, Err: fmt.Errorf("job %q has no item %q", id, item)}
}

// End ends a job.
func (g *Gateway) End(ctx context.Context, workspace, id string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	ctx, done, _, err := g.readHeader(ctx, workspace, id)
	defer done()
	if err == nil {
		err = g.ledger.End(ctx, id)
		if err == nil {
			g.notifyDriver(ctx, id, true)
		}
		if sesamepitch.KindOf(err) == sesamepitch.KindUnknown {
			err = &Refusal{Kind: sesamepitch.KindUnknown, Err: err}
		}
	}
	g.log.Info("job end", "job", id, "workspace", workspace, "outcome", outcome(err))
	return err
}
