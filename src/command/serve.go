package command

import (
	"net"
	"strings"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/daemon"
	"sesamepitch/src/standin"
)

func daemonSettings(o ServeOptions) daemon.Settings {
	if o.PeersListen == "" {
		o.PeersListen = o.Peers
	}
	return daemon.Settings{
		Instance: o.Instance, Centre: o.Centre, Callers: o.Callers, Operators: o.Operators, Peers: o.Peers,
		PeersListen: o.PeersListen, Source: o.Source, Platform: o.Platform, Seeds: o.Seeds, Beat: o.Beat, LeaseTTL: o.LeaseTTL, LeaseMargin: o.LeaseMargin,
		CellLease: o.CellLease, UsageWindow: o.UsageWindow, UsageSettle: o.UsageSettle, DrainDelay: o.DrainDelay,
		DrainTime: o.DrainTime, StreamStall: o.StreamStall, OperatorHash: o.OperatorHash,
	}
}

func serve(env environment, o ServeOptions) error {
	settings := daemonSettings(o)
	if faults := settings.Faults(); len(faults) > 0 {
		return usageError{message: "settings:\n  " + strings.Join(faults, "\n  ")}
	}
	d, err := daemon.New(settings, sesamepitch.SystemClock{}, newLog(env.errOut))
	if err != nil {
		return err
	}
	return d.Run(env.ctx)
}

func runStandin(env environment, name string, o StandinOptions) error {
	switch name {
	case "platform":
		listener, err := net.Listen("tcp", o.Platform.Listen)
		if err != nil {
			return err
		}
		return standin.Serve(env.ctx, listener, standin.NewPlatform())
	case "engine":
		listener, err := net.Listen("tcp", o.Engine.Listen)
		if err != nil {
			return err
		}
		return standin.Serve(env.ctx, listener, standin.NewEngine(engineSettings(o.Engine)))
	default:
		listener, err := net.Listen("tcp", o.Service.Listen)
		if err != nil {
			return err
		}
		return standin.Serve(env.ctx, listener, standin.NewService())
	}
}

func engineSettings(o StandinEngineOptions) standin.EngineSettings {
	return standin.EngineSettings{
		Version: o.Version, TokenTime: o.Token, PrefillTime: o.Prefill, Knee: o.Knee, ColdTime: o.ColdFor, ColdLimit: o.ColdLimit,
		RestartTime: o.Restart, CheckFence: o.CheckFence, SwapTime: o.Swap, CacheSlots: o.CacheSlots,
	}
}
