package load

import (
	"fmt"
	"time"

	"sesamepitch/src/deployment"
	"sesamepitch/src/document"
	"sesamepitch/src/standin"
)

// The presets are the deployments of the brief. Engines run faster than real
// ones and steps are shorter; timeScale says by how much.
const (
	Gelaenderwerk = "gelaenderwerk"
	Guild         = "guild"
)

const (
	engineToken   = 20 * time.Millisecond
	enginePrefill = 40 * time.Millisecond
	engineKnee    = 8
	engineCold    = 600 * time.Millisecond
	engineBears   = 2
	engineRestart = time.Second
	engineSwap    = 300 * time.Millisecond
	engineCache   = 48
	ordinaryPrice = 1000
	cheapPrice    = 350
	trainModel    = "tuning"
	memberModel   = "members"
	judgeName     = "judge"
)

// preset describes a deployment.
type preset struct {
	name        string
	centres     []string
	daemons     int
	trainers    int
	trainEngine int
	members     int
	// weights are the eight workspaces' weights: a few large ones.
	weights []int
}

func presetOf(name string) preset {
	if name == Guild {
		return preset{
			name: Guild, centres: []string{"erie-shore", "huron-shore", "michigan-shore"}, daemons: 3, trainers: 4,
			trainEngine: 12, members: 3, weights: []int{4, 3, 1, 1, 1, 1, 1, 1},
		}
	}
	return preset{
		name: Gelaenderwerk, centres: []string{"muc-a", "muc-b", "nue-a", "rgb-a"}, daemons: 2, trainers: 4,
		trainEngine: 12, members: 4, weights: []int{4, 3, 1, 1, 1, 1, 1, 1},
	}
}

// workspaces of the preset: the first ones train, the others are members.
func (p preset) workspace(i int) string { return fmt.Sprintf("workspace-%d", i+1) }

func (p preset) trainer(i int) string { return fmt.Sprintf("trainer-%d", i+1) }

// spec builds the deployment; cheap is whether reclaimable engines exist, cold
// how long engines are cold after a start.
func (p preset) spec(cheap bool, cold time.Duration) deployment.Spec {
	spec := deployment.Spec{Daemons: p.daemons, UsageWindow: 2 * time.Second, UsageSettle: time.Second}
	base := &spec.Base
	for i, weight := range p.weights {
		class := document.Interactive
		if i < p.trainers {
			class = document.Training
		}
		base.Workspaces = append(base.Workspaces, document.Workspace{Name: p.workspace(i), Class: class, Weight: weight})
	}
	for i := range p.trainers {
		base.Trainers = append(base.Trainers, document.Trainer{
			Name: p.trainer(i), Workspace: p.workspace(i), Model: trainModel, Judge: judgeName, MaxLag: 1, StepTime: "60s",
		})
	}
	base.Models = []document.Model{{Name: memberModel, Version: 1}, {Name: trainModel, Version: 1}}
	base.Services = []document.Service{{Name: judgeName, Repeatable: true}}
	for _, name := range p.centres {
		base.DataCentres = append(base.DataCentres, document.DataCentre{Name: name, Region: p.name})
	}
	for i := range p.trainEngine {
		spec.Engines = append(spec.Engines, p.engine(trainModel, i, cheap && i%3 == 2, cold))
	}
	for i := range p.members {
		spec.Engines = append(spec.Engines, p.engine(memberModel, i, false, cold))
	}
	return spec
}

func (p preset) engine(model string, i int, cheap bool, cold time.Duration) deployment.Engine {
	centreName := p.centres[i%len(p.centres)]
	price := int64(ordinaryPrice)
	if cheap {
		price = cheapPrice
	}
	return deployment.Engine{
		Endpoint: document.Endpoint{
			Name: fmt.Sprintf("%s-%s-%d", centreName, model, i/len(p.centres)+1), DataCentre: centreName, Model: model,
			Knee: engineKnee, ColdLimit: engineBears, WarmAfter: 2, ColdTime: cold.String(), MilliPrice: price,
			Reclaimable: cheap, ChecksFence: true,
		},
		Settings: standin.EngineSettings{
			Version: 1, TokenTime: engineToken, PrefillTime: enginePrefill, Knee: engineKnee, ColdTime: cold,
			ColdLimit: engineBears, RestartTime: engineRestart, CheckFence: true, SwapTime: engineSwap, CacheSlots: engineCache,
		},
	}
}
