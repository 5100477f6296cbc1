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
	// acceptTime bounds the acceptance of a job.
	acceptTime = 3 * time.Second
	// endTime bounds the end of a job.
	endTime = 3 * time.Second
	// readTime bounds one read of a job, beside its wait.
	readTime = 2 * time.Second
	// readPause is the time between looks of a waiting read.
	readPause = 40 * time.Millisecond
	// A waiting read that a result has ended is answered once no other has come
	// for gatherQuiet, after gatherMost at the latest: its caller comes back only
	// after a pause, and results of equal length end together.
	gatherQuiet = 80 * time.Millisecond
	gatherMost  = 250 * time.Millisecond
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
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), acceptTime)
	defer cancel()
	err := g.ledger.Accept(ctx, job)
	switch sesamepitch.KindOf(err) {
	case "":
		g.tell(ctx, job.ID, false)
		return nil
	case sesamepitch.KindDenied:
		return &Refusal{Kind: sesamepitch.KindInvalid, Err: err}
	case sesamepitch.KindUnavailable:
		return &Refusal{Kind: sesamepitch.KindUnavailable, Err: err, After: comeBackLater}
	default:
		return &Refusal{Kind: sesamepitch.KindUnknown, Err: err}
	}
}

// tell has the driver told of a job that was accepted or ended.
func (g *Gateway) tell(ctx context.Context, id string, ended bool) {
	head, err := g.ledger.Head(ctx, id)
	if err != nil {
		g.log.Info("driver not told of a job", "job", id, "cause", err.Error())
		return
	}
	head.Ended = head.Ended || ended
	g.notify(head)
}

// own checks that a job exists and belongs to the workspace.
func (g *Gateway) own(ctx context.Context, workspace, id string) (batch.Head, error) {
	head, err := g.ledger.Head(ctx, id)
	if err != nil {
		return head, asRefusal(err)
	}
	if head.Workspace != workspace {
		return head, &Refusal{Kind: sesamepitch.KindNotFound, Err: fmt.Errorf("job %q is not of this workspace", id)}
	}
	return head, nil
}

func asRefusal(err error) error {
	if err == nil {
		return nil
	}
	if sesamepitch.KindOf(err) == sesamepitch.KindNotFound {
		return &Refusal{Kind: sesamepitch.KindNotFound, Err: err}
	}
	return &Refusal{Kind: sesamepitch.KindUnavailable, Err: err, After: comeBackSoon}
}

// Read returns the results from a position on; it waits for the first one if
// there is none yet.
func (g *Gateway) Read(ctx context.Context, workspace, id string, after int, wait time.Duration) (batch.Page, error) {
	until := g.clock.Now().Add(wait)
	ctx, cancel := context.WithTimeout(ctx, wait+readTime)
	defer cancel()
	if _, err := g.own(ctx, workspace, id); err != nil {
		g.log.Info("job not read", "job", id, "workspace", workspace, "cause", err.Error())
		return batch.Page{}, err
	}
	gathered := gathering{}
	for {
		page, err := g.ledger.Read(ctx, id, after)
		if err != nil {
			g.log.Info("job not read", "job", id, "workspace", workspace, "cause", err.Error())
			return page, asRefusal(err)
		}
		now := g.clock.Now()
		if page.Next >= page.Total || !now.Add(readPause).Before(until) || gathered.isDone(now, len(page.Results)) {
			return page, nil
		}
		select {
		case <-g.clock.After(readPause):
		case <-ctx.Done():
			return page, nil
		}
	}
}

// gathering decides when a waiting read is answered.
type gathering struct {
	// waited is set once a look has found no result.
	waited bool
	count  int
	// firstAt and lastAt are when results were first and last found to be new.
	firstAt, lastAt time.Time
}

// isDone takes a look's number of results and tells whether to answer: at once
// if there were some at the first look.
func (g *gathering) isDone(now time.Time, count int) bool {
	if count == 0 {
		g.waited = true
		return false
	}
	if !g.waited {
		return true
	}
	if g.count == 0 {
		g.firstAt = now
	}
	if count > g.count {
		g.count, g.lastAt = count, now
	}
	return now.Sub(g.lastAt) >= gatherQuiet || now.Sub(g.firstAt) >= gatherMost
}

// ItemBody returns the body of an item.
func (g *Gateway) ItemBody(ctx context.Context, workspace, id, item string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	head, err := g.own(ctx, workspace, id)
	if err != nil {
		return nil, err
	}
	job, err := g.ledger.Job(ctx, head)
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
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTime)
	defer cancel()
	_, err := g.own(ctx, workspace, id)
	if err == nil {
		err = g.ledger.End(ctx, id)
		if err == nil {
			g.tell(ctx, id, true)
		}
		if sesamepitch.KindOf(err) == sesamepitch.KindUnknown {
			err = &Refusal{Kind: sesamepitch.KindUnknown, Err: err}
		}
	}
	g.log.Info("job end", "job", id, "workspace", workspace, "outcome", outcome(err))
	return err
}
