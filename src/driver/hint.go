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
	// noticeTime bounds one notice; the feed brings the news as well.
	noticeTime = 500 * time.Millisecond
	// noticesKept is how many notices wait to be sent; more are dropped.
	noticesKept = 64
)

// Service takes peers' notices for this instance's driver.
type Service struct{ driver *Driver }

// Register adds the service to an RPC server.
func Register(server *rpc.Server, d *Driver) error {
	return server.RegisterName(serviceName, &Service{driver: d})
}

// Notice takes the head of a job that was just accepted or ended. An instance
// that does not drive ignores it.
func (s *Service) Notice(head batch.Head, _ *struct{}) error {
	s.driver.notice(head)
	return nil
}

// notice hands a job's head to the running session, if there is one.
func (d *Driver) notice(head batch.Head) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil {
		d.current.session.takeHead(d.current.ctx, head)
	}
}

// Caller calls a method of a peer at an address; peer.Dialer is one.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Notifier tells the driver of jobs that this instance has accepted or ended,
// so that it need not wait for the feed.
type Notifier struct {
	clock  sesamepitch.Clock
	log    logr.Logger
	driver *Driver
	caller Caller
	heads  chan batch.Head
}

// NewNotifier returns a notifier of the instance that d is the driver of.
func NewNotifier(clock sesamepitch.Clock, log logr.Logger, d *Driver, caller Caller) *Notifier {
	return &Notifier{clock: clock, log: log, driver: d, caller: caller, heads: make(chan batch.Head, noticesKept)}
}

// Notify puts a notice in line; it never blocks.
func (n *Notifier) Notify(head batch.Head) {
	select {
	case n.heads <- head:
	default:
		n.log.Info("driver not told of a job", "job", head.ID, "cause", "too many notices wait")
	}
}

// Run sends notices until ctx ends.
func (n *Notifier) Run(ctx context.Context) error {
	for {
		select {
		case head := <-n.heads:
			n.send(ctx, head)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *Notifier) send(ctx context.Context, head batch.Head) {
	record := n.driver.lease.Record()
	if record.Holder == n.driver.instance {
		n.driver.notice(head)
		return
	}
	if record.Address == "" {
		return // nobody drives at present; the next driver reads all jobs
	}
	ctx, cancel := context.WithTimeout(ctx, noticeTime)
	defer cancel()
	began := n.clock.Now()
	var reply struct{}
	if err := n.caller.Call(ctx, record.Address, serviceName+".Notice", head, &reply); err != nil {
		n.log.Info("driver not told of a job", "job", head.ID, "driver", record.Holder, "epoch", record.Epoch,
			"ms", n.clock.Now().Sub(began).Milliseconds(), "cause", err.Error())
	}
}
