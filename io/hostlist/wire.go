// Package hostlist implements an HTTP client of the platform's list of live and
// leaving hosts. The list may be stale.
//
// # Usage
//
//	client := hostlist.New("http://127.0.0.1:7002", httpClient)
//	list, err := client.Fetch(ctx)
//
// The protocol:
//
//	GET /v1/hosts -> ListResponse
package hostlist

import "net/netip"

// The states of an entry.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// The kinds of an entry.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Entry is one host in the list: an engine or a plain service.
type Entry struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// Address has the form IP:port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Kind    string `json:"kind"`
	// Pool is the name of the model or of the plain service.
	Pool  string `json:"pool"`
	State string `json:"state"`
	// ChecksFencing reports whether the endpoint refuses orders with an old fencing
	// number.
	ChecksFencing bool `json:"checksFencing"`
}

// isUsable reports whether the entry names an endpoint to which work can be sent.
func (e *Entry) isUsable() bool {
	address, err := netip.ParseAddrPort(e.Address)
	return err == nil && address.Port() != 0 && e.Name != "" &&
		(e.Kind == KindEngine || e.Kind == KindService) && (e.State == StateLive || e.State == StateLeaving)
}

// ListResponse is the complete list.
type ListResponse struct {
	Revision uint64  `json:"revision"`
	Entries  []Entry `json:"entries"`
	// Unusable holds the names of the entries that Client.Fetch has left out, as they name no
	// endpoint to use. A name that cannot be decoded is empty.
	Unusable []string `json:"-"`
}
