package driver

import (
	"context"
	"net/rpc"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"

	"github.com/go-logr/logr"
)

const (
	serviceName = "Driver"
	// hintTime bounds one hint; the feed brings the news as well.
	hintTime = 500 * time.Millisecond
	// hintsKept is how many hints wait to be sent; more are dropped.
	hintsKept = 64
)

// Service takes peers' hints for this instance's driver.
type Service struct{ driver *Driver }

// Register adds the service to an RPC server.
func Register(server *rpc.Server, d *Driver) error {
	return server.RegisterName(serviceName, &Service{driver: d})
}

// Hint takes the head of a job that was just accepted or ended. An instance
// that does not drive ignores it.
func (s *Service) Hint(head batch.Header, _ *struct{}) error {
	s.driver.hint(head)
	return nil
}

// hint hands a job's head to the running session, if there is one.
func (d *Driver) hint(head batch.Header) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil {
		d.current.session.takeHead(d.current.ctx, head)
	}
}

// Hinter tells the driver of jobs that this instance has accepted or ended,
// so that it need not wait for the feed.
type Hinter struct {
	clock  sesamepitch.Clock
	log    logr.Logger
	driver *Driver
	caller sesamepitch.PeerCaller
	heads  chan batch.Header
}

// NewHinter returns a hinter of the instance that d is the driver of.
func NewHinter(clock sesamepitch.Clock, log logr.Logger, d *Driver, caller sesamepitch.PeerCaller) *Hinter {
	return &Hinter{clock: clock, log: log, driver: d, caller: caller, heads: make(chan batch.Header, hintsKept)}
}

// Notify puts a hint in line; it never blocks.
func (h *Hinter) Notify(head batch.Header) {
	select {
	case h.heads <- head:
	default:
		h.log.Info("driver not told of a job", "job", head.ID, "cause", "too many hints wait")
	}
}

// Run sends hints until ctx ends.
func (h *Hinter) Run(ctx context.Context) error {
	for {
		select {
		case head := <-h.heads:
			h.send(ctx, head)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (h *Hinter) send(ctx context.Context, head batch.Header) {
	record := h.driver.lease.Record()
	if record.Holder == h.driver.instance {
		h.driver.hint(head)
		return
	}
	if record.Address == "" {
		return // nobody drives at present; the next driver reads all jobs
	}
	ctx, cancel := context.WithTimeout(ctx, hintTime)
	defer cancel()
	began := h.clock.Now()
	var reply struct{}
	if err := h.caller.Call(ctx, record.Address, serviceName+".Hint", head, &reply); err != nil {
		h.log.Info("driver not told of a job", "job", head.ID, "driver", record.Holder, "epoch", record.Epoch,
			"ms", h.clock.Now().Sub(began).Milliseconds(), "cause", err.Error())
	}
}
