package pool

import (
	"sort"
	"time"
)

// Status returns the queues and endpoints of the owned cells.
func (o *Owner) Status() []CellStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := []CellStatus{}
	for id, state := range o.cells {
		status := CellStatus{Pool: id.Pool, Index: id.Index, Queued: state.queue.Len(), Endpoints: []EndpointStatus{}}
		for name, e := range state.endpoints {
			status.Endpoints = append(status.Endpoints, EndpointStatus{
				Name: name, Running: e.running, Limit: e.ramp.Limit(), Version: e.version,
				Broken: o.clock.Now().Before(e.brokenUntil), TokenMicros: int64(e.tokenTime) / int64(time.Microsecond),
			})
		}
		sort.Slice(status.Endpoints, func(i, j int) bool { return status.Endpoints[i].Name < status.Endpoints[j].Name })
		list = append(list, status)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Pool < list[j].Pool })
	return list
}

// CellStatus is the status of an owned cell, for operators.
type CellStatus struct {
	Pool      string           `json:"pool"`
	Index     int              `json:"index"`
	Queued    int              `json:"queued"`
	Endpoints []EndpointStatus `json:"endpoints"`
}

// EndpointStatus is the status of an endpoint of an owned cell, for operators.
type EndpointStatus struct {
	Name        string `json:"name"`
	Running     int    `json:"running"`
	Limit       int    `json:"limit"`
	Version     int64  `json:"version"`
	Broken      bool   `json:"broken"`
	TokenMicros int64  `json:"token_micros"`
}
