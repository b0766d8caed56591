// Package route holds the addresses of profiles: which host name and path
// prefix lead to which class of request, who may use them, and which service
// answers.
//
// # Usage
//
//	table, err := route.New(spec)
//	r, ok := table.Lookup(host, path)
//	team, ok := table.Team(key)
//
// A Table never changes after New, so that a call sees one version from its
// arrival to its end, and any number of goroutines may read it.
package route

import (
	"fmt"
	"net"
	"sort"
	"strings"
	"time"
)

// Kind says how often a call of a route may run.
type Kind int

// The kinds of calls.
const (
	// Safe calls may run any number of times.
	Safe Kind = iota
	// AtMostOnce calls run at most once for each attempt of a caller.
	AtMostOnce
	// Stream calls are answered by a series of events. They run at most once,
	// unless the route is resumable.
	Stream
)

// String returns the kind's name as it stands in logs.
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

// Route is the address of a profile.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Resumable says that a stream may go on at another endpoint after the last
	// event that the caller has.
	Resumable bool
	// Public routes need no API key.
	Public bool
	// Timeout is the longest time that a caller is kept waiting, or zero.
	Timeout time.Duration
	// TargetLatency is the latency target: the time to the whole answer, or to the
	// first event of a stream.
	TargetLatency time.Duration
	// TargetEventGap is the longest pause between two events of a stream that is on time,
	// or zero.
	TargetEventGap time.Duration
	// Priority is the rank of the calls; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of endpoints on which one call may run.
	MaxAttempts int
	// Targets are the services that answer, with their shares.
	Targets []Target
}

// Target is a service and its share of a route's calls.
type Target struct {
	Service string
	Weight  float64
}

// Retryable reports whether a call may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// PickService returns the service for a call. Draw is a number from 0 to 1.
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	rest := draw * total
	for _, target := range r.Targets {
		rest -= target.Weight
		if rest < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// KVCacheTokens is the number of tokens that an engine's memory holds.
	KVCacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream, or zero.
	TokensPerEvent int
	// FetchTimePerThousandTokens is the time in which an engine fetches a thousand tokens from
	// another one's memory, or zero if it cannot.
	FetchTimePerThousandTokens time.Duration
}

// Service is a group of endpoints that answer alike.
type Service struct {
	Name string
	// Engine is set for services of model engines.
	Engine *Engine
}

// Team is a tenant and its API keys.
type Team struct {
	Name string
	Keys []string
	// Priority replaces that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send.
type Limits struct {
	// MaxHeaderBytes and BodyBytes bound a request, or are zero for no bound.
	MaxHeaderBytes int
	MaxBodyBytes   int64
}

// Spec is a whole configuration as its source gives it.
type Spec struct {
	// Version grows with each configuration.
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// SpecError says why a configuration cannot be used.
type SpecError struct {
	Version int64
	Route   string
	Reason  string
}

// Error names the route and the reason.
func (e *SpecError) Error() string {
	return fmt.Sprintf("configuration %d cannot be used: route %q: %s", e.Version, e.Route, e.Reason)
}

// Table is one version of the configuration, made for look-ups.
type Table struct {
	version  int64
	limits   Limits
	byHost   map[string][]*Route
	services map[string]*Service
	teams    map[string]*Team
	names    map[string]bool
	routes   int
}

// New returns the table of a configuration. The error is a *SpecError.
func New(spec Spec) (*Table, error) {
	t := &Table{
		version:  spec.Version,
		limits:   spec.Limits,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(spec.Services)),
		teams:    make(map[string]*Team),
		names:    make(map[string]bool, len(spec.Teams)),
		routes:   len(spec.Routes),
	}
	for i := range spec.Services {
		t.services[spec.Services[i].Name] = &spec.Services[i]
	}
	for i := range spec.Routes {
		r := &spec.Routes[i]
		if reason := t.fault(r); reason != "" {
			return nil, &SpecError{
				Version: spec.Version,
				Route:   r.Name,
				Reason:  reason,
			}
		}
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].PathPrefix) > len(routes[j].PathPrefix)
		})
	}
	for i := range spec.Teams {
		team := &spec.Teams[i]
		t.names[team.Name] = true
		for _, key := range team.Keys {
			t.teams[key] = team
		}
	}
	return t, nil
}

// fault returns why a route cannot be used, or nothing.
func (t *Table) fault(r *Route) string {
	switch {
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return "the prefix does not begin and end with a slash"
	case len(r.Targets) == 0:
		return "no service answers it"
	case r.MaxAttempts < 1:
		return "it allows no attempt"
	}
	for _, target := range r.Targets {
		if t.services[target.Service] == nil {
			return fmt.Sprintf("service %q is not known", target.Service)
		}
		if target.Weight < 0 {
			return "a weight is negative"
		}
	}
	return ""
}

// Version returns the configuration's version.
func (t *Table) Version() int64 { return t.version }

// Limits returns the bounds on callers.
func (t *Table) Limits() Limits { return t.limits }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return t.routes }

// TeamCount returns the number of teams.
func (t *Table) TeamCount() int { return len(t.names) }

// HasTeams reports whether calls need an API key.
func (t *Table) HasTeams() bool { return len(t.names) > 0 }

// Services returns all services by name. The map must not be changed.
func (t *Table) Services() map[string]*Service { return t.services }

// Lookup returns the route of a host name, with or without a port, and a path:
// of the routes whose prefix begins the path, the one with the longest.
func (t *Table) Lookup(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	routes, ok := t.byHost[host]
	if !ok {
		name, _, err := net.SplitHostPort(host)
		if err != nil {
			return nil, false
		}
		routes = t.byHost[name]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// TeamByKey returns the team that holds an API key.
func (t *Table) TeamByKey(key string) (*Team, bool) {
	team, ok := t.teams[key]
	return team, ok
}
