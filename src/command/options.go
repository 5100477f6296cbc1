package command

import "time"

// Options holds the options of all commands. Each option can also be set by the
// environment variable that its help names.
type Options struct {
	Serve   ServeOptions   `command:"serve" description:"Run the daemon on an entry instance"`
	Entry   EntryOptions   `command:"entry" description:"Run an entry instance on the users' platform; its settings file is named in the environment"`
	Demo    DemoOptions    `command:"demo" description:"Run a step through several daemons in this process and check the promises"`
	Check   CheckOptions   `command:"check" description:"Check a document without applying it"`
	Diff    DiffOptions    `command:"diff" description:"Show what a document would change"`
	Apply   ApplyOptions   `command:"apply" description:"Make a document the next version"`
	Get     GetOptions     `command:"get" description:"Print the document in force"`
	Key     KeyOptions     `command:"key" description:"Make or withdraw keys"`
	Centre  CentreOptions  `command:"centre" description:"Take a data centre out, or back in"`
	Status  StatusOptions  `command:"status" description:"Show what is in force where"`
	Usage   UsageOptions   `command:"usage" description:"List usage windows and whether they are reported"`
	Load    LoadOptions    `command:"load" description:"Run seeded experiments on a local deployment, beside baselines"`
	Standin StandinOptions `command:"standin" description:"Run a stand-in of an outside system"`
	Version VersionOptions `command:"version" description:"Print the version"`
}

// ServeOptions are the options of serve.
type ServeOptions struct {
	Instance     string        `long:"instance" env:"SESAMEPITCH_INSTANCE" description:"name of this instance" required:"true"`
	Centre       string        `long:"data-centre" env:"SESAMEPITCH_DATA_CENTRE" description:"data centre of this instance" required:"true"`
	Callers      string        `long:"callers" env:"SESAMEPITCH_CALLERS" description:"IP:port for callers" default:"127.0.0.1:8080"`
	Operators    string        `long:"operators" env:"SESAMEPITCH_OPERATORS" description:"IP:port for operators and metrics" default:"127.0.0.1:8081"`
	Peers        string        `long:"peers" env:"SESAMEPITCH_PEERS" description:"IP:port for the other daemons, as they reach it" default:"127.0.0.1:8082"`
	PeersListen  string        `long:"peers-listen" env:"SESAMEPITCH_PEERS_LISTEN" description:"IP:port to listen on for --peers, if it differs"`
	Source       string        `long:"source" env:"SESAMEPITCH_SOURCE" description:"IP to send from; any if empty"`
	Platform     string        `long:"platform" env:"SESAMEPITCH_PLATFORM" description:"IP:port of the platform" required:"true"`
	Seeds        []string      `long:"seed" env:"SESAMEPITCH_SEEDS" env-delim:"," description:"peer to ask while the platform is out of reach at start"`
	Beat         time.Duration `long:"heartbeat" env:"SESAMEPITCH_HEARTBEAT" description:"time between heartbeats" default:"500ms"`
	LeaseTTL     time.Duration `long:"lease" env:"SESAMEPITCH_LEASE" description:"length of leases in the platform's table" default:"3s"`
	LeaseMargin  time.Duration `long:"lease-margin" env:"SESAMEPITCH_LEASE_MARGIN" description:"time by which a holder stops early and a contender waits longer" default:"500ms"`
	CellLease    time.Duration `long:"cell-lease" env:"SESAMEPITCH_CELL_LEASE" description:"how long endpoints are owned after a heartbeat" default:"6s"`
	UsageWindow  time.Duration `long:"usage-window" env:"SESAMEPITCH_USAGE_WINDOW" description:"length of a usage window, the same at all instances" default:"1m"`
	UsageSettle  time.Duration `long:"usage-settle" env:"SESAMEPITCH_USAGE_SETTLE" description:"time from a window's end to its report" default:"5s"`
	DrainDelay   time.Duration `long:"drain-delay" env:"SESAMEPITCH_DRAIN_DELAY" description:"time for the balancer to turn away at a shutdown" default:"2s"`
	DrainTime    time.Duration `long:"drain-time" env:"SESAMEPITCH_DRAIN_TIME" description:"longest time for open requests at a shutdown" default:"10m"`
	StreamStall  time.Duration `long:"stream-stall" env:"SESAMEPITCH_STREAM_STALL" description:"how long an engine's stream may stand still" default:"30s"`
	OperatorHash string        `long:"operator-token-hash" env:"SESAMEPITCH_OPERATOR_TOKEN_HASH" description:"SHA-256 of the operators' token; none is asked for if empty"`
}

// EntryOptions are the options of entry that its settings file does not cover.
type EntryOptions struct {
	PeersListen string `long:"peers-listen" env:"SESAMEPITCH_PEERS_LISTEN" description:"IP:port to listen on for other instances, if they reach this one at another"`
	MetricsPort int    `long:"metrics-port" env:"SESAMEPITCH_METRICS_PORT" description:"port of the metrics; 0 for none" default:"9464"`
}

// Remote holds the options of commands that call a daemon.
type Remote struct {
	Address string `long:"daemon" env:"SESAMEPITCH_DAEMON" description:"IP:port of a daemon's operator listener" default:"127.0.0.1:8081"`
	Token   string `long:"token" env:"SESAMEPITCH_OPERATOR_TOKEN" description:"operators' token"`
	JSON    bool   `long:"json" env:"SESAMEPITCH_JSON" description:"print JSON"`
}

// FileArgument names a document's file.
type FileArgument struct {
	File string `positional-arg-name:"FILE" description:"YAML document, - for standard input" required:"true"`
}

// CheckOptions are the options of check.
type CheckOptions struct {
	Args FileArgument `positional-args:"true"`
}

// DiffOptions are the options of diff.
type DiffOptions struct {
	Remote
	Args FileArgument `positional-args:"true"`
}

// ApplyOptions are the options of apply.
type ApplyOptions struct {
	Remote
	Base   int64        `long:"base" env:"SESAMEPITCH_BASE" description:"version that the document was made from; by default the one in its '# version:' line" default:"-1"`
	Author string       `long:"author" env:"SESAMEPITCH_AUTHOR" description:"who applies it, for the history" default:"operator"`
	Args   FileArgument `positional-args:"true"`
}

// GetOptions are the options of get.
type GetOptions struct {
	Remote
}

// KeyOptions are the subcommands of key.
type KeyOptions struct {
	New      KeyNewOptions      `command:"new" description:"Make a key; prints it once, with the line for the document"`
	Withdraw KeyWithdrawOptions `command:"withdraw" description:"Withdraw a key for good"`
}

// KeyNewOptions are the options of key new.
type KeyNewOptions struct {
	Args struct {
		Name      string `positional-arg-name:"NAME" required:"true"`
		Workspace string `positional-arg-name:"WORKSPACE" required:"true"`
	} `positional-args:"true"`
}

// KeyWithdrawOptions are the options of key withdraw.
type KeyWithdrawOptions struct {
	Remote
	Hash string `long:"hash" env:"SESAMEPITCH_KEY_HASH" description:"the key's hash, if the document no longer has it"`
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"true"`
}

// CentreOptions are the subcommands of centre.
type CentreOptions struct {
	Out CentreStateOptions `command:"out" description:"Take a data centre out: it gets no new work"`
	In  CentreStateOptions `command:"in" description:"Bring a data centre back"`
}

// CentreStateOptions are the options of centre out and centre in.
type CentreStateOptions struct {
	Remote
	Args struct {
		Name string `positional-arg-name:"DATA_CENTRE" required:"true"`
	} `positional-args:"true"`
}

// StatusOptions are the options of status.
type StatusOptions struct {
	Remote
}

// UsageOptions are the options of usage.
type UsageOptions struct {
	Remote
}

// VersionOptions has no options.
type VersionOptions struct{}

// DemoOptions are the options of demo.
type DemoOptions struct {
	Groups  int  `long:"groups" env:"SESAMEPITCH_DEMO_GROUPS" description:"groups in the step" default:"12"`
	Samples int  `long:"samples" env:"SESAMEPITCH_DEMO_SAMPLES" description:"samples in a group" default:"8"`
	Verbose bool `long:"verbose" env:"SESAMEPITCH_VERBOSE" description:"print the daemons' log"`
}

// LoadOptions are the options of load.
type LoadOptions struct {
	Preset   string   `long:"preset" env:"SESAMEPITCH_PRESET" description:"deployment" choice:"gelaenderwerk" choice:"guild" default:"gelaenderwerk"`
	Scenario string   `long:"scenario" env:"SESAMEPITCH_SCENARIO" description:"what happens during the run" choice:"steady" choice:"stragglers" choice:"neighbour" choice:"weights" choice:"reclaim" choice:"cold" choice:"centre" choice:"no-cheap" choice:"store-down" choice:"light" choice:"members-only" default:"steady"`
	Seed     uint64   `long:"seed" env:"SESAMEPITCH_SEED" description:"first seed of the work" default:"1"`
	Seeds    uint64   `long:"seeds" env:"SESAMEPITCH_SEEDS_COUNT" description:"number of seeds, one after the other" default:"1"`
	Steps    int      `long:"steps" env:"SESAMEPITCH_STEPS" description:"steps of each trainer" default:"3"`
	Policies []string `long:"policy" env:"SESAMEPITCH_POLICIES" env-delim:"," description:"policies to run in turn" choice:"sesamepitch" choice:"round-robin" choice:"two-choices" default:"sesamepitch" default:"round-robin" default:"two-choices"`
	Verbose  bool     `long:"verbose" env:"SESAMEPITCH_VERBOSE" description:"print the daemons' log"`
	// If Callers is set, load sends traffic to running daemons and runs no policy.
	Callers []string      `long:"callers" env:"SESAMEPITCH_LOAD_CALLERS" env-delim:"," description:"IP:port for callers of a running daemon; load drives these instead of a deployment of its own"`
	Keys    []string      `long:"key" env:"SESAMEPITCH_LOAD_KEYS" env-delim:"," description:"WORKSPACE=KEY to drive running daemons with"`
	Length  time.Duration `long:"for" env:"SESAMEPITCH_LOAD_FOR" description:"how long to drive running daemons" default:"30s"`
	Remote
}

// StandinOptions are the subcommands of standin.
type StandinOptions struct {
	Platform StandinPlatformOptions `command:"platform" description:"Table, objects, orders, usage reports, live list"`
	Engine   StandinEngineOptions   `command:"engine" description:"A model engine"`
	Service  StandinServiceOptions  `command:"service" description:"A judge or plain service"`
}

// StandinListen holds the address that a stand-in listens on.
type StandinListen struct {
	Listen string `long:"listen" env:"SESAMEPITCH_LISTEN" description:"IP:port" required:"true"`
}

// StandinPlatformOptions are the options of standin platform.
type StandinPlatformOptions struct {
	StandinListen
}

// StandinServiceOptions are the options of standin service.
type StandinServiceOptions struct {
	StandinListen
}

// StandinEngineOptions are the options of standin engine.
type StandinEngineOptions struct {
	StandinListen
	Version    int64         `long:"weights" env:"SESAMEPITCH_ENGINE_WEIGHTS" description:"weight version at start" default:"1"`
	Token      time.Duration `long:"token-time" env:"SESAMEPITCH_ENGINE_TOKEN_TIME" description:"time of a token up to the knee" default:"5ms"`
	Prefill    time.Duration `long:"prefill-time" env:"SESAMEPITCH_ENGINE_PREFILL_TIME" description:"time before the first token of a new prefix" default:"10ms"`
	Knee       int           `long:"knee" env:"SESAMEPITCH_ENGINE_KNEE" description:"streams above which tokens slow down" default:"8"`
	ColdFor    time.Duration `long:"cold-time" env:"SESAMEPITCH_ENGINE_COLD_TIME" description:"length of the cold start" default:"0s"`
	ColdLimit  int           `long:"cold-limit" env:"SESAMEPITCH_ENGINE_COLD_LIMIT" description:"streams that the cold engine bears" default:"2"`
	Restart    time.Duration `long:"restart-time" env:"SESAMEPITCH_ENGINE_RESTART_TIME" description:"time from a crash to the next start" default:"1s"`
	CheckFence bool          `long:"check-fence" env:"SESAMEPITCH_ENGINE_CHECK_FENCE" description:"refuse old fencing numbers"`
	Swap       time.Duration `long:"swap-time" env:"SESAMEPITCH_ENGINE_SWAP_TIME" description:"time of a weight swap" default:"200ms"`
	CacheSlots int           `long:"cache-slots" env:"SESAMEPITCH_ENGINE_CACHE_SLOTS" description:"prompt prefixes kept" default:"64"`
}
