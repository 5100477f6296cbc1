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
	hintTimeout = 500 * time.Millisecond
	// hintsKept is how many hints wait to be sent; more are dropped.
	hintQueueSize = 64
)

// Service takes peers' hints for this instance's driver.
type Service struct{ driver *Driver }

// Register adds the service to an RPC server.
func Register(server *rpc.Server, d *Driver) error {
	return server.RegisterName(serviceName, &Service{driver: d})
}

// Hint takes the head of a job that was just accepted or ended. An instance
// that does not drive ignores it.
func (s *Service) Hint(header batch.Head, _ *struct{}) error {
	s.driver.hint(header)
	return nil
}

// hint hands a job's head to the running session, if there is one.
func (d *Driver) hint(header batch.Head) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil {
		d.current.session.handleHeader(d.current.ctx, header)
	}
}

// Hinter tells the driver of jobs that this instance has accepted or ended,
// so that it need not wait for the feed.
type Hinter struct {
	clock   sesamepitch.Clock
	log     logr.Logger
	driver  *Driver
	caller  sesamepitch.PeerCaller
	headers chan batch.Head
}

// NewHinter returns a hinter of the instance that d is the driver of.
func NewHinter(clock sesamepitch.Clock, log logr.Logger, d *Driver, caller sesamepitch.PeerCaller) *Hinter {
	return &Hinter{clock: clock, log: log, driver: d, caller: caller, headers: make(chan batch.Head, hintQueueSize)}
}

// Notify puts a hint in line; it never blocks.
func (h *Hinter) Notify(header batch.Head) {
	select {
	case h.headers <- header:
	default:
		h.log.Info("driver not told of a job", "job", header.ID, "cause", "too many hints wait")
	}
}

// Run sends hints until ctx ends.
func (h *Hinter) Run(ctx context.Context) error {
	for {
		select {
		case header := <-h.headers:
			h.send(ctx, header)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (h *Hinter) send(ctx context.Context, header batch.Head) {
	record := h.driver.lease.Record()
	if record.Holder == h.driver.instance {
		h.driver.hint(header)
		return
	}
	if record.Address == "" {
		return // nobody drives at present; the next driver reads all jobs
	}
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	began := h.clock.Now()
	var reply struct{}
	if err := h.caller.Call(ctx, record.Address, serviceName+".Hint", header, &reply); err != nil {
		h.log.Info("driver not told of a job", "job", header.ID, "driver", record.Holder, "epoch", record.Epoch,
			"ms", h.clock.Now().Sub(began).Milliseconds(), "cause", err.Error())
	}
}
