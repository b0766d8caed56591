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

// dumpTimeout bounds the look into one pool.
const dumpTimeout = 2 * time.Second

// Dump is a host's state. It is bounded and holds no prompt and no answer.
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
	// Missing names the parts that did not answer in time.
	Missing []string `json:"missing,omitempty"`
}

// PoolDump is the state of one pool.
type PoolDump struct {
	Dispatch  dispatch.Snapshot `json:"dispatch"`
	Routing   routing.Snapshot  `json:"routing"`
	OpenCalls int64             `json:"open"`
}

// EndpointDump is what is known of one endpoint.
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

// Explanation is what is known of one request.
type Explanation struct {
	RequestID string              `json:"requestId"`
	Host      string              `json:"host"`
	Pool      string              `json:"pool"`
	Profile   string              `json:"profile"`
	Team      string              `json:"team"`
	Decisions []dispatch.Decision `json:"decisions"`
}

// UnknownRequestError says that a request is not, or no longer, known.
type UnknownRequestError struct {
	RequestID string
}

// Error names the request.
func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("request %q is not known to this host, or no longer", e.RequestID)
}

// DutyTimeoutError says that a duty did not answer in time.
type DutyTimeoutError struct {
	Duty string
}

// Error names the duty.
func (e *DutyTimeoutError) Error() string {
	return fmt.Sprintf("%s did not answer in time", e.Duty)
}

// Dump returns the host's state. Parts that do not answer in time are named as
// missing.
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

// explainJSON returns the decisions on a request as JSON, and whether it is
// known.
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

// operatorEndpoints returns the endpoints as operators see them.
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

// endpointHealth returns the state of each endpoint as the pools see it.
func (h *Host) endpointHealth(ctx context.Context) map[endpoint.Key]string {
	health := make(map[endpoint.Key]string)
	for _, p := range h.allPools() {
		pool, ok := h.dumpPool(ctx, p)
		if !ok {
			continue
		}
		for _, one := range pool.Routing.Endpoints {
			health[endpoint.Key{
				Name:        one.Name,
				Incarnation: one.Incarnation,
			}] = one.State
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
	ok := p.look(ctx, func(d *decisions) {
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
			ReportAgeMs: h.timers.Now().Sub(entry.heardAt).Milliseconds(),
			Running:     entry.report.Running,
			Queued:      entry.report.Queued,
		})
	}
	return endpoints
}

// Explain returns the decisions on a request. The error is an
// *UnknownRequestError or a *BusyError.
func (h *Host) Explain(ctx context.Context, requestID string) (Explanation, error) {
	request, ok := h.recent.find(requestID)
	if !ok {
		return Explanation{}, trace.Wrap(&UnknownRequestError{RequestID: requestID})
	}
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	found := make(chan []dispatch.Decision, 1)
	p := h.pool(request.pool, request.kind)
	if !p.look(ctx, func(d *decisions) { found <- d.pool.Decisions(request.id) }) {
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
