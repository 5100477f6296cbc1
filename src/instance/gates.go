package instance

import (
	"context"
	"time"

	sesamepitch "sesamepitch/src"
)

// gates is a RequestGate of several, which are asked in order. The last one may count
// a request that it admits.
type gates []sesamepitch.RequestGate

// Admit implements sesamepitch.RequestGate.
func (g gates) Admit(ctx context.Context, to sesamepitch.Destination, purpose sesamepitch.Purpose) error {
	for _, gate := range g {
		if err := gate.Admit(ctx, to, purpose); err != nil {
			return err
		}
	}
	return nil
}

// Answered implements sesamepitch.RequestGate.
func (g gates) Answered(to sesamepitch.Destination, sent time.Time, said sesamepitch.Statement) {
	for _, gate := range g {
		gate.Answered(to, sent, said)
	}
}
