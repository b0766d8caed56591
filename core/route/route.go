// Package route holds the routing table of a gateway: the host name and path
// prefix of each route, the teams that may call it, and the services to which
// its calls are sent.
//
// # Usage
//
//	table, err := route.New(spec)
//	r, ok := table.Lookup(host, path)
//	team, ok := table.Team(key)
//
// A Table is immutable after New, so a call sees one version of the
// configuration from start to finish, and any number of goroutines may read it.
package route

import (
	"fmt"
	"net"
	"sort"
	"strings"
	"time"
)

// Kind defines how often a call of a route may run.
type Kind int

// Kinds of calls.
const (
	// Safe calls may run any number of times.
	Safe Kind = iota
	// AtMostOnce calls run at most once for each request of a caller.
	AtMostOnce
	// Stream calls are answered with a stream of events. They run at most once
	// unless the route is resumable.
	Stream
)

// String returns the kind's name as used in logs.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case AtMostOnce:
		return "once"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Route maps a host name and path prefix to services, with the limits and
// latency targets of its calls.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Resumable allows a stream to continue at another endpoint after the last
	// event that the caller received.
	Resumable bool
	// Public routes need no API key.
	Public bool
	// Timeout is the longest that a call may take, or zero for no timeout.
	Timeout time.Duration
	// TargetLatency is the target for the time to the complete response, or to the
	// first event of a stream.
	TargetLatency time.Duration
	// TargetEventGap is the target for the longest gap between two events of a
	// stream, or zero for none.
	TargetEventGap time.Duration
	// Priority is the priority of the calls; 0 is the most urgent. See Table.Priority
	// for how it is combined with that of the team.
	Priority int
	// MaxAttempts is the number of endpoints on which one call may run.
	MaxAttempts int
	// Targets are the services among which calls are split by weight.
	Targets []Target
}

// Target is a service and its weight in a route's traffic split.
type Target struct {
	Service string
	Weight  float64
}

// Retryable reports whether a call may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// PickService selects the service for a call by weight. Draw is a random number
// from 0 to 1.
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	remaining := draw * total
	for _, target := range r.Targets {
		remaining -= target.Weight
		if remaining < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// KVCacheTokens is the capacity of an engine's KV cache in tokens.
	KVCacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream, or zero for
	// the default of the scheduler.
	TokensPerEvent int
	// FetchTimePerThousandTokens is the time that an engine needs to fetch a
	// thousand cached tokens from another engine, or zero if it cannot.
	FetchTimePerThousandTokens time.Duration
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// Engine is set for services of model engines.
	Engine *Engine
	// Scale is set for services whose number of endpoints may be ordered.
	Scale *Scale
}

// Scale bounds the number of endpoints that may be ordered for a service, and states their
// prices.
type Scale struct {
	// Min and Max bound the endpoints in each zone, spot and on-demand ones together. Equal
	// ones pin the number.
	Min int
	Max int
	// Boot is the time from an order until a new endpoint serves.
	Boot time.Duration
	// SpotPrice is the price of a spot endpoint as a share of that of an on-demand one, or
	// zero if there are none.
	SpotPrice float64
	// ZonePrices holds the price of an on-demand endpoint for a second by zone.
	ZonePrices map[string]float64
}

// IsPinned reports whether the number of endpoints is fixed.
func (s *Scale) IsPinned() bool { return s.Min == s.Max }

// Team is a tenant and its API keys.
type Team struct {
	Name string
	Keys []string
	// Priority takes precedence over the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits are the limits on requests and their connections.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are zero for no limit.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time until a request's header has arrived, and IdleTimeout
	// the time between two requests on a connection. They are zero for the host's own.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Spec is a complete configuration, not yet validated.
type Spec struct {
	// Version increases with each configuration.
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// SpecError reports an invalid configuration.
type SpecError struct {
	Version int64
	Route   string
	Reason  string
}

// Error names the route and the reason.
func (e *SpecError) Error() string {
	return fmt.Sprintf("invalid configuration %d: route %q: %s", e.Version, e.Route, e.Reason)
}

// Table is the routing table of one version of the configuration.
type Table struct {
	version      int64
	limits       Limits
	routesByHost map[string][]*Route
	services     map[string]*Service
	teamsByKey   map[string]*Team
	teamNames    map[string]bool
	routes       []*Route
	// urgencyLevels holds the urgencies of all allowed calls, the most urgent first.
	urgencyLevels []urgency
}

// New validates a configuration and returns its table. The error is a
// *SpecError.
func New(spec Spec) (*Table, error) {
	t := &Table{
		version:       spec.Version,
		limits:        spec.Limits,
		routesByHost:  make(map[string][]*Route),
		services:      make(map[string]*Service, len(spec.Services)),
		teamsByKey:    make(map[string]*Team),
		teamNames:     make(map[string]bool, len(spec.Teams)),
		urgencyLevels: urgencyLevels(spec),
	}
	for i := range spec.Services {
		t.services[spec.Services[i].Name] = &spec.Services[i]
	}
	for i := range spec.Routes {
		r := &spec.Routes[i]
		if reason := t.invalidReason(r); reason != "" {
			return nil, &SpecError{
				Version: spec.Version,
				Route:   r.Name,
				Reason:  reason,
			}
		}
		t.routes = append(t.routes, r)
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].PathPrefix) > len(routes[j].PathPrefix)
		})
	}
	for i := range spec.Teams {
		team := &spec.Teams[i]
		t.teamNames[team.Name] = true
		for _, key := range team.Keys {
			t.teamsByKey[key] = team
		}
	}
	return t, nil
}

// invalidReason returns why a route is invalid, or "" if it is valid.
func (t *Table) invalidReason(r *Route) string {
	switch {
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return "path prefix must begin and end with a slash"
	case len(r.Targets) == 0:
		return "no target service"
	case r.MaxAttempts < 1:
		return "maximum number of attempts is less than 1"
	}
	for _, target := range r.Targets {
		if t.services[target.Service] == nil {
			return fmt.Sprintf("unknown service %q", target.Service)
		}
		if target.Weight < 0 {
			return "negative target weight"
		}
	}
	return ""
}

// Version returns the configuration's version.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits on requests and their connections.
func (t *Table) Limits() Limits { return t.limits }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return len(t.routes) }

// Routes returns all routes. The slice must not be changed.
func (t *Table) Routes() []*Route { return t.routes }

// TeamCount returns the number of teams.
func (t *Table) TeamCount() int { return len(t.teamNames) }

// HasTeams reports whether calls need an API key.
func (t *Table) HasTeams() bool { return len(t.teamNames) > 0 }

// Services returns all services by name. The map must not be changed.
func (t *Table) Services() map[string]*Service { return t.services }

// Lookup returns the route of a host name, with or without a port, that has the
// longest prefix of path.
func (t *Table) Lookup(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	routes, ok := t.routesByHost[host]
	if !ok {
		name, _, err := net.SplitHostPort(host)
		if err != nil {
			return nil, false
		}
		routes = t.routesByHost[name]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// TeamByKey returns the team that owns an API key.
func (t *Table) TeamByKey(key string) (*Team, bool) {
	team, ok := t.teamsByKey[key]
	return team, ok
}
