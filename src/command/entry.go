package command

import (
	"net"
	"strconv"
	"strings"

	"sesamepitch/platform"
	"sesamepitch/src/instance"
	"sesamepitch/src/site"
)

// runEntry runs an entry instance on the users' platform.
func runEntry(env environment, o EntryOptions) error {
	settings, err := readSettings(o)
	if err != nil {
		return usageError{err.Error()}
	}
	adapter := platform.NewAdapter(settings)
	adapter.Reload = func() (site.Settings, error) { return readSettings(o) }
	running, err := instance.New(settings, adapter, env.out, newLog)
	if err != nil {
		return err
	}
	return running.Run(env.ctx)
}

// readSettings reads the settings file and applies the command line options.
func readSettings(o EntryOptions) (site.Settings, error) {
	settings, err := platform.ReadSettings()
	if err != nil {
		return settings, err
	}
	settings.PeersListen = o.PeersListen
	if o.MetricsPort > 0 {
		settings.Metrics = net.JoinHostPort(settings.Source, strconv.Itoa(o.MetricsPort))
	}
	if faults := settings.Faults(); len(faults) > 0 {
		return settings, usageError{strings.Join(faults, "; ")}
	}
	return settings, nil
}
