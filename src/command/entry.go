package command

import (
	"net"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"

	"sesamepitch/platform"
	"sesamepitch/src/instance"
	"sesamepitch/src/site"
)

// runEntry runs an entry instance on the users' platform.
func runEntry(env environment, o EntryOptions) error {
	// First of all: until it is caught, SIGHUP ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	settings, err := readSettings(o)
	if err != nil {
		return usageError{err.Error()}
	}
	adapter := platform.NewAdapter(settings)
	adapter.Hangups = hangups
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
