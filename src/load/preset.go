package load

import (
	"fmt"
	"time"

	"sesamepitch/src/deployment"
	"sesamepitch/src/document"
	"sesamepitch/src/standin"
)

// Presets of deployments. Their engines run faster than real ones and their steps
// are shorter.
const (
	Gelaenderwerk = "gelaenderwerk"
	Guild         = "guild"
)

const (
	engineTokenTime       = 20 * time.Millisecond
	enginePrefillTime     = 40 * time.Millisecond
	engineKnee            = 8
	engineColdTime        = 600 * time.Millisecond
	engineColdLimit       = 2
	engineRestartTime     = time.Second
	engineSwapTime        = 300 * time.Millisecond
	engineCacheSlots      = 48
	ordinaryMilliPrice    = 1000
	reclaimableMilliPrice = 350
	trainingModel         = "tuning"
	interactiveModel      = "members"
	judgeName             = "judge"
)

// preset describes a deployment; daemons is the number per data centre.
type preset struct {
	name               string
	centres            []string
	daemons            int
	trainers           int
	trainingEngines    int
	interactiveEngines int
	// weights holds the workspaces' weights; the first ones belong to trainers.
	weights []int
}

func newPreset(name string) preset {
	if name == Guild {
		return preset{
			name: Guild, centres: []string{"erie-shore", "huron-shore", "michigan-shore"}, daemons: 3, trainers: 4,
			trainingEngines: 12, interactiveEngines: 3, weights: []int{4, 3, 1, 1, 1, 1, 1, 1},
		}
	}
	return preset{
		name: Gelaenderwerk, centres: []string{"muc-a", "muc-b", "nue-a", "rgb-a"}, daemons: 2, trainers: 4,
		trainingEngines: 12, interactiveEngines: 4, weights: []int{4, 3, 1, 1, 1, 1, 1, 1},
	}
}

// workspace returns the name of a workspace. The first workspaces are those of
// trainers, the others are interactive.
func (p preset) workspace(i int) string { return fmt.Sprintf("workspace-%d", i+1) }

func (p preset) trainer(i int) string { return fmt.Sprintf("trainer-%d", i+1) }

// spec returns the deployment's description. Reclaimable engines exist only if
// reclaimable is set; coldTime is the length of the engines' cold start.
func (p preset) spec(reclaimable bool, coldTime time.Duration) deployment.Spec {
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
			Name: p.trainer(i), Workspace: p.workspace(i), Model: trainingModel, Judge: judgeName, MaxLag: 1, StepTime: "60s",
		})
	}
	base.Models = []document.Model{{Name: interactiveModel, Version: 1}, {Name: trainingModel, Version: 1}}
	base.Services = []document.Service{{Name: judgeName, Repeatable: true}}
	for _, name := range p.centres {
		base.DataCentres = append(base.DataCentres, document.DataCentre{Name: name, Region: p.name})
	}
	for i := range p.trainingEngines {
		spec.Engines = append(spec.Engines, p.engine(trainingModel, i, reclaimable && i%3 == 2, coldTime))
	}
	for i := range p.interactiveEngines {
		spec.Engines = append(spec.Engines, p.engine(interactiveModel, i, false, coldTime))
	}
	return spec
}

func (p preset) engine(model string, i int, reclaimable bool, coldTime time.Duration) deployment.Engine {
	centreName := p.centres[i%len(p.centres)]
	price := int64(ordinaryMilliPrice)
	if reclaimable {
		price = reclaimableMilliPrice
	}
	return deployment.Engine{
		Endpoint: document.Endpoint{
			Name: fmt.Sprintf("%s-%s-%d", centreName, model, i/len(p.centres)+1), DataCentre: centreName, Model: model,
			Knee: engineKnee, ColdLimit: engineColdLimit, WarmAfter: 2, ColdTime: coldTime.String(), MilliPrice: price,
			Reclaimable: reclaimable, ChecksFence: true,
		},
		Settings: standin.EngineSettings{
			Version: 1, TokenTime: engineTokenTime, PrefillTime: enginePrefillTime, Knee: engineKnee, ColdTime: coldTime,
			ColdLimit: engineColdLimit, RestartTime: engineRestartTime, CheckFence: true, SwapTime: engineSwapTime, CacheSlots: engineCacheSlots,
		},
	}
}
