package instance

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"sesamepitch/src/supervisor"
)

// reloadEvery is the time between looks at settings that changed unannounced.
const reloadEvery = 5 * time.Second

// watchSettings reads the settings again on SIGHUP and from time to time.
// What has changed is used from the next start on, and logged.
func (i *Instance) watchSettings(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	now := make(chan struct{}, 1)
	told := make(chan struct{})
	go func() {
		defer close(told)
		for {
			select {
			case <-hangups:
				i.log.Info("SIGHUP received")
				supervisor.Wake(now)
			case <-ctx.Done():
				return
			}
		}
	}()
	last := i.settings
	err := supervisor.EveryOr(ctx, i.clock, reloadEvery, now, func(context.Context) {
		settings, err := i.adapter.Reload()
		if err != nil {
			i.log.Info("settings are not usable", "cause", err.Error())
			return
		}
		if !reflect.DeepEqual(settings, last) {
			i.log.Info("settings changed", "applied", "at the next start")
			last = settings
		}
	})
	<-told
	return err
}
