// Package metrics holds the counters of one host. They are expvar variables in a
// separate map per host, so that several hosts can run in one process.
//
// # Usage
//
//	counters := metrics.New()
//	counters.Add("requests", 1)
//	counters.SetFunc("queued", func() any { return queue.Len() })
//	http.Handle("/debug/vars", counters)
//
// Names must not contain ids of requests, teams or keys.
package metrics

import (
	"expvar"
	"fmt"
	"net/http"
)

// Counters is a set of named variables. It is safe for concurrent use.
type Counters struct {
	variables *expvar.Map
}

// New returns an empty set.
func New() *Counters {
	return &Counters{
		variables: new(expvar.Map).Init(),
	}
}

// Add adds delta to the named counter.
func (c *Counters) Add(name string, delta int64) {
	c.variables.Add(name, delta)
}

// SetFunc sets the named variable to a function that is evaluated on each read.
func (c *Counters) SetFunc(name string, read func() any) {
	c.variables.Set(name, expvar.Func(read))
}

// SetVar sets the named variable to one that is maintained elsewhere.
func (c *Counters) SetVar(name string, variable expvar.Var) {
	c.variables.Set(name, variable)
}

// String returns the variables as JSON.
func (c *Counters) String() string {
	return c.variables.String()
}

// ServeHTTP responds with the variables as JSON.
func (c *Counters) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintln(w, c.variables.String())
}
