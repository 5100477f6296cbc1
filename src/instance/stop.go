package instance

import (
	"context"
	"net/http"
	"time"
)

const (
	// deregistrationTime is how long after SIGTERM the load balancer may still send
	// new requests.
	deregistrationTime = 2600 * time.Millisecond
	// serveShare is the share of the grace period in which open requests may go on,
	// writeShare the share after it for the last writes to the store.
	serveShare = 11.0 / 12
	writeShare = 1.0 / 16
	// answerShare is the share before the end of the serving time in which requests that
	// are still open get their final answers.
	answerShare = 1.0 / 40
	// maxAcceptShare is the share of the serving time in which new requests are
	// accepted if the grace period is short.
	maxAcceptShare = 0.5
	// maxHandOverShare is the share of the serving time that the handover to the
	// next driver may take.
	maxHandOverShare = 0.2
)

// stopPlan divides the grace period of a stop. All times are counted from its start.
type stopPlan struct {
	// accept is how long new requests are accepted while there are other instances,
	// serve how long open ones may go on.
	accept, serve time.Duration
	// answer is when requests that are still open get their final answers.
	answer time.Duration
	// handOver is how long the driver waits for the store, or for another instance,
	// before it hands its jobs over.
	handOver time.Duration
	// write is the time for the last writes, after serve.
	write time.Duration
}

func planStop(grace time.Duration) stopPlan {
	share := func(of time.Duration, fraction float64) time.Duration { return time.Duration(fraction * float64(of)) }
	serve := share(grace, serveShare)
	return stopPlan{
		accept:   min(deregistrationTime, share(serve, maxAcceptShare)),
		serve:    serve,
		answer:   serve - share(grace, answerShare),
		handOver: serve - share(serve, maxHandOverShare),
		write:    share(grace, writeShare),
	}
}

// acceptFor returns how long new requests are accepted if there is a number of other
// live instances: callers of the last one have nowhere else to go.
func (p stopPlan) acceptFor(others int) time.Duration {
	if others == 0 {
		return p.handOver
	}
	return p.accept
}

// drain fails the readiness check so that the load balancer sends callers
// elsewhere, hands over the driver lease, finishes open requests, writes the
// remaining usage counts and removes the instance's row. Requests that are still
// open near the end of the grace period get a final answer.
func (i *Instance) drain(server *http.Server) {
	plan := planStop(i.settings.Bounds.Grace)
	i.log.Info("instance draining", "accept_ms", plan.accept.Milliseconds(), "serve_ms", plan.serve.Milliseconds(), "write_ms", plan.write.Milliseconds())
	i.draining.Store(true)
	i.gateway.BeginStop(i.clock.Now().Add(plan.answer), func() bool { return len(i.members.Others()) > 0 })
	answerCtx, answered := context.WithTimeout(context.Background(), plan.answer)
	defer answered()
	defer context.AfterFunc(answerCtx, i.gateway.EndStop)()
	serveCtx, cancel := context.WithTimeout(context.Background(), plan.serve)
	defer cancel()
	driverLeft := i.driver.Leave(plan.handOver)
	<-i.clock.After(plan.acceptFor(len(i.members.Others())))
	if err := server.Shutdown(serveCtx); err != nil {
		i.log.Info("open requests aborted at the end of the grace period", "cause", err.Error())
		_ = server.Close()
	}
	select {
	case <-driverLeft:
	case <-serveCtx.Done():
		i.log.Info("driver lease not released in time")
	}
	writeCtx, done := context.WithTimeout(context.Background(), plan.write)
	defer done()
	left := make(chan struct{})
	go func() {
		defer close(left)
		i.members.Leave(writeCtx)
	}()
	i.meter.Flush(writeCtx)
	<-left
}
