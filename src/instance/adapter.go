package instance

import (
	"net/http"
	"os"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/caller"
	"sesamepitch/src/gateway"
	"sesamepitch/src/memory"
	"sesamepitch/src/registry"
	"sesamepitch/src/site"
)

// Adapter connects an instance to the users' platform.
type Adapter struct {
	// Clock is the clock of all parts; it also advances while the process is
	// suspended.
	Clock   sesamepitch.Clock
	Store   sesamepitch.Store
	Decoder registry.Decoder
	// Connect returns the clients of endpoints, whose requests all pass the gate, and
	// which hold answers in a share of the memory.
	Connect func(gate sesamepitch.RequestGate, answers *memory.Share) Endpoints
	// OperatorTable and EndpointTable are the tables that Decoder decodes.
	OperatorTable string
	EndpointTable string
	// FencedCalls sends through a transport that requires a lease.
	FencedCalls func(http.RoundTripper) sesamepitch.FencedCalls
	// Callers returns the handler of callers' requests, Ready that of readiness
	// checks.
	Callers func(*gateway.Gateway, *caller.Bodies) http.Handler
	Ready   func(func() bool) http.Handler
	// Hangups receives when this process gets SIGHUP.
	Hangups <-chan os.Signal
	// Reload reads the settings again.
	Reload func() (site.Settings, error)
}

// Endpoints are the clients of endpoints.
type Endpoints struct {
	Engines sesamepitch.Engines
	Forward sesamepitch.Forwarder
	// Control sends orders through a transport that requires a lease.
	Control func(http.RoundTripper) sesamepitch.EngineControl
	// RetainConnections closes idle connections to all endpoints except those at
	// the addresses.
	RetainConnections func(addresses map[string]bool)
}
