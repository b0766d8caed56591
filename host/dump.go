package host

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"cactuswell/core/dispatch"
	"cactuswell/core/endpoint"
	"cactuswell/core/routing"
	"cactuswell/io/claims"
	"cactuswell/io/configuration"
	"cactuswell/io/node"
	"cactuswell/io/operator"
)

// dumpTimeout bounds the wait for one pool's state.
const dumpTimeout = 2 * time.Second

// Dump is a host's state. Its size is bounded, and it contains no prompts and no
// answers.
type Dump struct {
	Name          string              `json:"name"`
	Zone          string              `json:"zone"`
	Region        string              `json:"region"`
	Incarnation   uint64              `json:"incarnation"`
	At            time.Time           `json:"at"`
	Phase         string              `json:"phase"`
	Ready         bool                `json:"ready"`
	Reason        string              `json:"reason,omitempty"`
	Pools         map[string]PoolDump `json:"pools"`
	Endpoints     []EndpointDump      `json:"endpoints"`
	Node          node.Dump           `json:"node"`
	Configuration configuration.Dump  `json:"configuration"`
	Claims        claims.Dump         `json:"claims"`
	Restarts      map[string]int      `json:"restarts"`
	Counters      json.RawMessage     `json:"counters"`
	// Missing lists the duties that did not respond in time.
	Missing []string `json:"missing,omitempty"`
}

// PoolDump is the state of one pool.
type PoolDump struct {
	Dispatch  dispatch.Snapshot `json:"dispatch"`
	Routing   routing.Snapshot  `json:"routing"`
	OpenCalls int64             `json:"open"`
}

// EndpointDump is the state of one endpoint.
type EndpointDump struct {
	endpoint.Key

	Address string `json:"address"`
	Zone    string `json:"zone"`
	Pool    string `json:"pool"`
	Leaving bool   `json:"leaving"`
	// ReportAgeMs is the time since its last load report, in milliseconds.
	ReportAgeMs int64 `json:"heardAgeMs"`
	Running     int   `json:"running"`
	Queued      int   `json:"queued"`
}

// Explanation lists the decisions on one request.
type Explanation struct {
	RequestID string              `json:"requestId"`
	Host      string              `json:"host"`
	Pool      string              `json:"pool"`
	Profile   string              `json:"profile"`
	Team      string              `json:"team"`
	Decisions []dispatch.Decision `json:"decisions"`
}

// UnknownRequestError means that the host never had the request, or has evicted it
// from its list of recent requests.
type UnknownRequestError struct {
	RequestID string
}

// Error implements error.
func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("request %q is not known to this host, or no longer", e.RequestID)
}

// DutyTimeoutError means that a duty did not respond in time.
type DutyTimeoutError struct {
	Duty string
}

// Error implements error.
func (e *DutyTimeoutError) Error() string {
	return fmt.Sprintf("%s did not answer in time", e.Duty)
}

// Dump returns the host's state. Duties that do not respond in time are listed in
// Missing.
func (h *Host) Dump(ctx context.Context) Dump {
	ready, reason := h.Ready()
	dump := Dump{
		Name:          h.settings.Name,
		Zone:          h.settings.Zone,
		Region:        h.settings.Region,
		Incarnation:   h.incarnation,
		At:            h.timers.Now(),
		Phase:         phaseNames[h.phase.Load()],
		Ready:         ready,
		Reason:        reason,
		Pools:         make(map[string]PoolDump),
		Configuration: h.configuration.Dump(),
		Claims:        h.claims.Dump(),
		Restarts:      h.tree.Restarts(),
		Counters:      json.RawMessage(h.counters.String()),
	}
	for _, p := range h.allPools() {
		pool, ok := h.dumpPool(ctx, p)
		if !ok {
			dump.Missing = append(dump.Missing, p.String())
			continue
		}
		dump.Pools[p.name] = pool
	}
	var err error
	if dump.Node, err = h.node.Dump(ctx); err != nil {
		dump.Missing = append(dump.Missing, "node")
	}
	dump.Endpoints = h.dumpEndpoints()
	return dump
}

// dumpJSON returns the host's state as JSON.
func (h *Host) dumpJSON(ctx context.Context) ([]byte, error) {
	data, err := json.MarshalIndent(h.Dump(ctx), "", "  ")
	return data, trace.Wrap(err)
}

// explainJSON returns the decisions on a request as JSON, and whether the request
// is known.
func (h *Host) explainJSON(ctx context.Context, requestID string) ([]byte, bool, error) {
	explanation, err := h.Explain(ctx, requestID)
	var unknown *UnknownRequestError
	if errors.As(err, &unknown) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, err
	}
	data, err := json.MarshalIndent(explanation, "", "  ")
	return data, true, trace.Wrap(err)
}

// operatorEndpoints returns the endpoints for the operators' API.
func (h *Host) operatorEndpoints(ctx context.Context) ([]operator.Endpoint, error) {
	health := h.endpointHealth(ctx)
	var endpoints []operator.Endpoint
	for _, entry := range h.directory.list() {
		endpoints = append(endpoints, operator.Endpoint{
			Name:        entry.descriptor.Key.Name,
			Incarnation: entry.descriptor.Key.Incarnation,
			Address:     entry.descriptor.Address,
			Zone:        entry.descriptor.Zone,
			Pool:        entry.descriptor.Pool,
			Kind:        string(entry.descriptor.Kind),
			Health:      healthOf(&entry, health),
			Running:     entry.report.Running,
		})
	}
	return endpoints, nil
}

// endpointHealth returns the health of each endpoint according to its pool. It
// omits pools that do not respond in time.
func (h *Host) endpointHealth(ctx context.Context) map[endpoint.Key]string {
	health := make(map[endpoint.Key]string)
	for _, p := range h.allPools() {
		pool, ok := h.dumpPool(ctx, p)
		if !ok {
			continue
		}
		for _, e := range pool.Routing.Endpoints {
			health[endpoint.Key{
				Name:        e.Name,
				Incarnation: e.Incarnation,
			}] = e.State
		}
	}
	return health
}

func healthOf(entry *directoryEntry, health map[endpoint.Key]string) string {
	if entry.drained && !entry.leaving {
		return "drained"
	}
	return health[entry.descriptor.Key]
}

func (h *Host) dumpPool(ctx context.Context, p *pool) (PoolDump, bool) {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	found := make(chan PoolDump, 1)
	ok := p.inspect(ctx, func(d *stateMachines) {
		found <- PoolDump{
			Dispatch:  d.pool.Snapshot(),
			Routing:   d.router.Snapshot(h.timers.Now()),
			OpenCalls: p.openCalls(),
		}
	})
	if !ok {
		return PoolDump{}, false
	}
	return <-found, true
}

func (h *Host) dumpEndpoints() []EndpointDump {
	entries := h.directory.list()
	endpoints := make([]EndpointDump, 0, len(entries))
	for _, entry := range entries {
		endpoints = append(endpoints, EndpointDump{
			Key:         entry.descriptor.Key,
			Address:     entry.descriptor.Address,
			Zone:        entry.descriptor.Zone,
			Pool:        entry.descriptor.Pool,
			Leaving:     entry.leaving,
			ReportAgeMs: h.timers.Now().Sub(entry.lastSeenAt).Milliseconds(),
			Running:     entry.report.Running,
			Queued:      entry.report.Queued,
		})
	}
	return endpoints
}

// Explain returns the decisions on a request. The error is an
// *UnknownRequestError or a *DutyTimeoutError.
func (h *Host) Explain(ctx context.Context, requestID string) (Explanation, error) {
	request, ok := h.recent.find(requestID)
	if !ok {
		return Explanation{}, trace.Wrap(&UnknownRequestError{RequestID: requestID})
	}
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	found := make(chan []dispatch.Decision, 1)
	p := h.pool(request.pool, request.kind)
	if !p.inspect(ctx, func(d *stateMachines) { found <- d.pool.Decisions(request.id) }) {
		return Explanation{}, trace.Wrap(&DutyTimeoutError{Duty: p.String()})
	}
	return Explanation{
		RequestID: requestID,
		Host:      h.settings.Name,
		Pool:      request.pool,
		Profile:   request.profile,
		Team:      request.team,
		Decisions: <-found,
	}, nil
}
