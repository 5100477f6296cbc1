package command

import (
	"net"
	"net/http"
	"strconv"

	"sesamepitch/platform"
	sesamepitch "sesamepitch/src"
	"sesamepitch/src/gateway"
	"sesamepitch/src/instance"
	"sesamepitch/src/site"
)

// entryInstance runs an entry instance on the users' platform.
func entryInstance(env environment, o EntryOptions) error {
	settings, err := readSettings(o)
	if err != nil {
		return usageError{err.Error()}
	}
	adapter := newAdapter(settings)
	adapter.Reload = func() (site.Settings, error) { return readSettings(o) }
	running, err := instance.New(settings, adapter, env.out, newLog)
	if err != nil {
		return err
	}
	return running.Run(env.ctx)
}

// readSettings reads the settings file and adds what the command line says.
func readSettings(o EntryOptions) (site.Settings, error) {
	settings, err := platform.ReadSettings()
	if o.MetricsPort > 0 {
		settings.Metrics = net.JoinHostPort(settings.Source, strconv.Itoa(o.MetricsPort))
	}
	return settings, err
}

// newAdapter connects an instance to the users' platform.
func newAdapter(settings site.Settings) instance.Adapter {
	sender := platform.NewSender(settings.Source)
	return instance.Adapter{
		Store:         platform.NewStore(settings.Store, settings.Source),
		Decoder:       platform.Decoder{},
		Engines:       sender,
		Forward:       sender,
		OperatorTable: platform.OperatorTable,
		EndpointTable: platform.EndpointTable,
		Control: func(guard http.RoundTripper) sesamepitch.EngineControl {
			return platform.NewControl(guard, sender)
		},
		Duties: func(guard http.RoundTripper) sesamepitch.Duties {
			return platform.NewDuties(settings.Duties, guard)
		},
		Callers: func(g *gateway.Gateway, memory *instance.Memory) http.Handler {
			return platform.NewServer(g, memory)
		},
		Ready: platform.ReadyHandler,
		Keep:  sender.Keep,
	}
}
