package gateway

import (
	"context"

	sesamepitch "sesamepitch/src"
)

// ServeStream sends a streaming request to an endpoint. It tries another one only
// as long as the request cannot have run.
func (g *Gateway) ServeStream(ctx context.Context, admission Admission, request sesamepitch.Request, sink sesamepitch.StreamSink) error {
	d := g.newDispatch(admission, request)
	ctx, done, err := d.begin(ctx)
	defer done()
	if err == nil {
		err = d.stream(ctx, sink)
	}
	g.logOutcome(d, 0, err)
	return err
}

func (d *dispatch) stream(ctx context.Context, sink sesamepitch.StreamSink) error {
	var cause error
	request := d.request
	request.Workspace = d.admission.Workspace
	for d.mayTry(0) && !d.mayHaveRun {
		endpoint, found := d.acquire(ctx, 0)
		if !found {
			break
		}
		d.tried[endpoint.ID] = true
		done := d.gateway.trackRequest(endpoint)
		began := d.gateway.clock.Now()
		cause = d.gateway.forward.Stream(ctx, d.admitted(endpoint), request, sink)
		done(cause)
		d.record(ctx, try{endpoint: endpoint, began: began, err: cause})
		if cause == nil {
			return nil
		}
	}
	return d.refusal(ctx, cause)
}
