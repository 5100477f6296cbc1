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
	acceptTimeout = 3 * time.Second
	endTimeout    = 3 * time.Second
	// readTimeout bounds the read of a job, in addition to the wait of a long poll.
	readTimeout = 2 * time.Second
	// pollInterval is the time between the polls of a waiting read.
	pollInterval = 40 * time.Millisecond
	// A long poll is answered at once if it has all the results that the trainer
	// waits for. Otherwise it lasts at least minLongPoll, which is just under the
	// time to the trainer's next read. It then ends once no new result has arrived
	// for longPollQuiet, at the latest longPollGatherMax after the first one,
	// because outputs of equal length end together.
	minLongPoll       = 450 * time.Millisecond
	longPollQuiet     = 80 * time.Millisecond
	longPollGatherMax = 250 * time.Millisecond
	// deadlineGrace is how long after the result deadline a result still counts in
	// full, minus the time an answer takes to reach the trainer. Later results are
	// returned at once.
	deadlineGrace = 650 * time.Millisecond
)

// Submit accepts a batch job completely or not at all; an accepted job that is
// submitted again is not accepted twice.
func (g *Gateway) Submit(ctx context.Context, admission Admission, job batch.Submission) error {
	start := g.clock.Now()
	err := g.submit(ctx, admission, job, start)
	g.log.Info("job submitted", "job", job.ID, "route", admission.Route.Name, "workspace", admission.Workspace,
		"config", admission.Config, "step", job.Step, "model", job.Model, "min_version", job.MinVersion,
		"items", job.Total, "ms", g.clock.Now().Sub(start).Milliseconds(), "outcome", outcome(err))
	return err
}

// LogMalformed logs a job that could not be decoded and is refused as a whole.
func (g *Gateway) LogMalformed(id string, err error) {
	g.log.Info("job malformed", "job", id, "cause", err.Error())
}

func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}

func (g *Gateway) submit(ctx context.Context, admission Admission, job batch.Submission, now time.Time) error {
	if admission.Route.Kind != registry.Rollout {
		return &Refusal{Kind: sesamepitch.KindInvalid, Err: errNotRollout}
	}
	if faults := job.Faults(); len(faults) > 0 {
		return &Refusal{Kind: sesamepitch.KindInvalid, Err: errors.New(strings.Join(faults, "; "))}
	}
	job.Workspace = admission.Workspace
	job.Route = admission.Route.Name
	job.Submitted = now
	// The table may have stored the job when the caller disconnects, so the commit
	// goes on without the caller.
	ctx, ended := g.stopping.untilStop(context.WithoutCancel(ctx))
	defer ended()
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	ctx, done, err := g.withStore(ctx)
	if err != nil {
		return err
	}
	defer done()
	err = g.ledger.AcceptItems(ctx, job.Header, job.Items)
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

// notifyDriver passes the header of an accepted or ended job to the driver.
func (g *Gateway) notifyDriver(ctx context.Context, id string, ended bool) {
	header, err := g.ledger.Header(ctx, id)
	if err != nil {
		g.log.Info("driver not notified of a job", "job", id, "cause", err.Error())
		return
	}
	header.Ended = header.Ended || ended
	g.notify(header)
}

// readHeader reads the header of a workspace's job. The returned context ends when
// the store becomes unreachable; the caller reads the job with it and then calls
// done.
func (g *Gateway) readHeader(ctx context.Context, workspace, id string) (storeCtx context.Context, done context.CancelFunc, header batch.Header, err error) {
	storeCtx, done, err = g.withStore(ctx)
	if err != nil {
		return ctx, func() {}, header, err
	}
	header, err = g.ownedHeader(storeCtx, workspace, id)
	return storeCtx, done, header, err
}

// ownedHeader returns the header of a job if the job belongs to the workspace.
func (g *Gateway) ownedHeader(ctx context.Context, workspace, id string) (batch.Header, error) {
	header, err := g.ledger.Header(ctx, id)
	if err != nil {
		return header, asRefusal(err)
	}
	if header.Workspace != workspace {
		return header, &Refusal{Kind: sesamepitch.KindNotFound, Err: fmt.Errorf("job %q does not belong to this workspace", id)}
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

// Read returns a job's results after a position, whose memory is reserved until release
// is called. With a wait it is a long poll that returns when longPoll.shouldAnswer says
// so, or at the end of the wait.
func (g *Gateway) Read(ctx context.Context, workspace, id string, after int, wait time.Duration) (page batch.Page, release func(), err error) {
	page, err = g.read(ctx, workspace, id, after, wait)
	if err != nil {
		return page, func() {}, err
	}
	release, err = g.pages.hold(page)
	return page, release, err
}

func (g *Gateway) read(ctx context.Context, workspace, id string, after int, wait time.Duration) (batch.Page, error) {
	began := g.clock.Now()
	until := began.Add(wait)
	ctx, ended := g.stopping.untilStop(ctx)
	defer ended()
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	ctx, done, header, err := g.readHeader(ctx, workspace, id)
	defer done()
	if err != nil {
		g.log.Info("job read failed", "job", id, "workspace", workspace, "cause", err.Error())
		return batch.Page{}, err
	}
	poll := longPoll{began: began, deadline: g.resultDeadlineOf(header)}
	for {
		page, err := g.readPage(ctx, id, after)
		if err != nil {
			g.log.Info("job read failed", "job", id, "workspace", workspace, "cause", err.Error())
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

// resultDeadlineOf returns when a job's results stop counting in full; zero if the
// job's route sets no result deadline.
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
	// deadline is when results stop counting in full; zero for never.
	deadline time.Time
	// seen is the number of results that the last poll found.
	seen int
	// firstNewAt and lastNewAt are the times of the first and last poll that found
	// new results.
	firstNewAt, lastNewAt time.Time
}

// shouldAnswer reports whether to answer the read now. It takes the number of
// results that the poll found and whether the trainer waits for no others.
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
	return quiet && now.Sub(p.began) >= minLongPoll
}

// ItemBody returns the body of an item, whose memory is reserved until release is called.
func (g *Gateway) ItemBody(ctx context.Context, workspace, id, item string) (body []byte, release func(), err error) {
	release = func() {}
	ctx, ended := g.stopping.untilStop(ctx)
	defer ended()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	ctx, done, header, err := g.readHeader(ctx, workspace, id)
	defer done()
	if err != nil {
		return nil, release, err
	}
	body, found, release, err := g.ledger.ItemBody(ctx, header, item)
	if err != nil {
		g.log.Info("item's body not read", "job", id, "item", item, "workspace", workspace, "cause", err.Error())
		return nil, release, asRefusal(err)
	}
	if !found {
		return nil, release, &Refusal{Kind: sesamepitch.KindNotFound, Err: fmt.Errorf("job %q has no item %q", id, item)}
	}
	return body, release, nil
}

// End marks a job as ended by its trainer.
func (g *Gateway) End(ctx context.Context, workspace, id string) error {
	ctx, ended := g.stopping.untilStop(context.WithoutCancel(ctx))
	defer ended()
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
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
