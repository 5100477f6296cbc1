package instance

import (
	"context"
	"reflect"
	"time"

	"sesamepitch/src/supervisor"
)

// reloadInterval is the time between checks for changed settings without a
// SIGHUP.
const reloadInterval = 5 * time.Second

// watchSettings reads the settings again on SIGHUP and at intervals, and logs a
// change. Changed settings take effect at the next start.
func (i *Instance) watchSettings(ctx context.Context) error {
	reload := make(chan struct{}, 1)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-i.adapter.Hangups:
				i.log.Info("SIGHUP received")
				supervisor.Wake(reload)
			case <-ctx.Done():
				return
			}
		}
	}()
	lastSettings := i.settings
	err := supervisor.EveryOr(ctx, i.clock, reloadInterval, reload, func(context.Context) {
		settings, err := i.adapter.Reload()
		if err != nil {
			i.log.Info("invalid settings", "cause", err.Error())
			return
		}
		if !reflect.DeepEqual(settings, lastSettings) {
			i.log.Info("settings changed", "applied", "at the next start")
			lastSettings = settings
		}
	})
	<-stopped
	return err
}
