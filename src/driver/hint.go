package driver

import (
	"context"
	"net/rpc"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/supervisor"

	"github.com/go-logr/logr"
)

const (
	serviceName = "Driver"
	// hintTimeout bounds one hint; the job also arrives by the change feed.
	hintTimeout = 500 * time.Millisecond
	// hintQueueSize bounds the hints that wait to be sent; more are dropped.
	hintQueueSize = 64
)

// Service receives peers' hints for this instance's driver.
type Service struct{ driver *Driver }

// Register adds the service to an RPC server.
func Register(server *rpc.Server, d *Driver) error {
	return server.RegisterName(serviceName, &Service{driver: d})
}

// Hint receives the header of a job that was just accepted or ended. An
// instance that does not hold the driver lease ignores it.
func (s *Service) Hint(header batch.Header, _ *struct{}) error {
	return supervisor.Guard(func() error {
		s.driver.hint(header)
		return nil
	})
}

// hint passes a job's header to the running session, if there is one.
func (d *Driver) hint(header batch.Header) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil {
		d.current.session.handleHeader(d.current.ctx, header)
	}
}

// Hinter notifies the driver of jobs that this instance accepted or ended, so
// that the driver need not wait for the change feed.
type Hinter struct {
	clock   sesamepitch.Clock
	log     logr.Logger
	driver  *Driver
	caller  sesamepitch.PeerCaller
	headers chan batch.Header
}

// NewHinter returns the hinter of the instance whose driver is d.
func NewHinter(clock sesamepitch.Clock, log logr.Logger, d *Driver, caller sesamepitch.PeerCaller) *Hinter {
	return &Hinter{clock: clock, log: log, driver: d, caller: caller, headers: make(chan batch.Header, hintQueueSize)}
}

// Notify queues a hint; it never blocks.
func (h *Hinter) Notify(header batch.Header) {
	select {
	case h.headers <- header:
	default:
		h.log.Info("hint to the driver dropped", "job", header.ID, "cause", "the queue is full")
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

func (h *Hinter) send(ctx context.Context, header batch.Header) {
	record := h.driver.lease.Record()
	if record.Holder == h.driver.instance {
		h.driver.hint(header)
		return
	}
	if record.Address == "" {
		return // no driver at present; the next one reads all jobs
	}
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	began := h.clock.Now()
	var reply struct{}
	if err := h.caller.Call(ctx, record.Address, serviceName+".Hint", header, &reply); err != nil {
		h.log.Info("hint to the driver failed", "job", header.ID, "driver", record.Holder, "epoch", record.Epoch,
			"ms", h.clock.Now().Sub(began).Milliseconds(), "cause", err.Error())
	}
}
