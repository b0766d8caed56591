// Package hostlist speaks to the platform's list of live and leaving hosts,
// which lags.
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

// The states of an entry.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// The kinds of entry.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Entry is one host of the list that serves requests.
type Entry struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// Address is IP:port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Kind    string `json:"kind"`
	// Pool names the model or the plain service.
	Pool  string `json:"pool"`
	State string `json:"state"`
	// ChecksFencing reports whether the endpoint refuses old orders.
	ChecksFencing bool `json:"checksFencing"`
}

// ListResponse is the whole list.
type ListResponse struct {
	Revision uint64  `json:"revision"`
	Entries  []Entry `json:"entries"`
}
