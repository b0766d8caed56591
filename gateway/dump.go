package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"cactuswell/core/scheduling"
)

// DumpPath is where the ready listener serves a host's state.
const DumpPath = "/dump"

// Dump is what a host believes and does. It holds no key, prompt or answer.
type Dump struct {
	Host string `json:"host"`
	Zone string `json:"zone"`
	// Incarnation is the Unix time of the host's start, in milliseconds.
	Incarnation int64 `json:"born"`
	// Ready says whether the host wants connections, and Reason why not.
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
	// Version is that of the configuration, negative for none, and
	// VersionAgeMs how long it has been in force.
	Version      int64   `json:"version"`
	VersionAgeMs float64 `json:"versionAgeMs"`
	// ConfigurationUnavailable and EndpointsLost say that the store does not answer.
	ConfigurationUnavailable bool   `json:"configurationLost"`
	EndpointsUnavailable     bool   `json:"endpointsLost"`
	OpenCalls                int64  `json:"openCalls"`
	LinesDropped             uint64 `json:"linesDropped"`

	scheduling.Snapshot
}

// dump returns the host's state.
func (g *Gateway) dump() Dump {
	ready, reason := g.ready()
	dump := Dump{
		Host:                     g.Settings.Name,
		Zone:                     g.Settings.Zone,
		Incarnation:              g.born,
		Ready:                    ready,
		Reason:                   reason,
		Version:                  g.configuration.version(),
		ConfigurationUnavailable: g.configuration.lost.Load(),
		EndpointsUnavailable:     g.endpoints.lost.Load(),
		OpenCalls:                g.server.OpenCalls(),
		LinesDropped:             g.trail.DroppedCount(),
	}
	if known := g.configuration.inForce.Load(); known != nil {
		dump.VersionAgeMs = float64(time.Since(known.takenAt)) / float64(time.Millisecond)
	}
	g.look(func() { dump.Snapshot = g.decided.scheduler.Snapshot(g.timers.Now()) })
	return dump
}

func (g *Gateway) serveDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(g.dump()); err != nil {
		g.trail.Failure("dumpFailed").Err(err).End()
	}
}
