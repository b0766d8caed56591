// Package metrics holds the counters of one host. They are expvar variables in
// a map of the host's own, so that several hosts can live in one process.
//
// # Usage
//
//	counters := metrics.New()
//	counters.Add("requests", 1)
//	counters.Func("queued", func() any { return queue.Len() })
//	http.Handle("/debug/vars", counters)
//
// A name never holds an id of a request, a team or a key.
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

// Add raises the counter of that name by delta.
func (c *Counters) Add(name string, delta int64) {
	c.variables.Add(name, delta)
}

// SetFunc makes the variable of that name the value of read at each look.
func (c *Counters) SetFunc(name string, read func() any) {
	c.variables.Set(name, expvar.Func(read))
}

// SetVar adds a variable that another part keeps.
func (c *Counters) SetVar(name string, variable expvar.Var) {
	c.variables.Set(name, variable)
}

// String returns the variables as JSON.
func (c *Counters) String() string {
	return c.variables.String()
}

// ServeHTTP answers with the variables as JSON.
func (c *Counters) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintln(w, c.variables.String())
}
