package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"cactuswell/core/directory"
	"cactuswell/core/scheduling"
	"cactuswell/io/httpjson"
	"cactuswell/io/keyedlog"
	"cactuswell/io/peer"
	"cactuswell/io/tcp"
	"cactuswell/timer"
	"cactuswell/trail"
)

const (
	// The paths that hosts serve to each other.
	configurationPath = "/v1/configuration"
	endpointsPath     = "/v1/endpoints"

	// relayInterval is the time between two checks whether data must be fetched
	// from another host.
	relayInterval = 100 * time.Millisecond
	// relayDelay is how long another host must have had a newer configuration before
	// it is requested from that host. Usually the store delivers it sooner.
	relayDelay = 200 * time.Millisecond
	// relayEndpointsInterval is the time between two requests for another host's
	// endpoints while the store does not answer this host.
	relayEndpointsInterval = 700 * time.Millisecond
	// relayTimeout bounds a request to another host.
	relayTimeout = time.Second
	// maxRelayedBytes bounds the size of another host's answer.
	maxRelayedBytes = 8 << 20
)

// relay fetches the configuration and the endpoints from other hosts when the store
// does not deliver them to this host.
type relay struct {
	mesh          *peer.Mesh
	timers        *timer.Service
	trail         *trail.Trail
	decisions     *decisionLoop
	configuration *configurationFeed
	endpoints     *endpointFeed
	client        *http.Client

	// behindSince is when another host was first seen to have a newer configuration,
	// or zero.
	behindSince     time.Time
	endpointsReadAt time.Time
}

func newRelay(g *Gateway) *relay {
	dialer := tcp.NewDialer(tcp.Settings{
		DialTimeout: relayTimeout / 2,
		AckTimeout:  relayTimeout,
		KeepAlive:   time.Second,
	})
	return &relay{
		mesh:          g.mesh,
		timers:        g.timers,
		trail:         g.trail,
		decisions:     g.decisions,
		configuration: g.configuration,
		endpoints:     g.endpoints,
		client: &http.Client{
			Timeout: relayTimeout,
			Transport: &http.Transport{
				DialContext: dialer.DialContext,
			},
		},
	}
}

// run checks for data to fetch from other hosts until ctx is done.
func (r *relay) run(ctx context.Context) error {
	tick := r.timers.Every(relayInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C():
			r.fetchConfiguration(ctx, now)
			r.fetchEndpoints(ctx, now)
		}
	}
}

// fetchConfiguration fetches the configuration from a host with a newer one, once
// this host has been behind for relayDelay.
func (r *relay) fetchConfiguration(ctx context.Context, now time.Time) {
	address := r.mesh.HostWithNewerConfiguration(r.configuration.version())
	if address == "" {
		r.behindSince = time.Time{}
		return
	}
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
	if now.Sub(r.behindSince) < relayDelay {
		return
	}
	value, err := r.get(ctx, address, configurationPath)
	if err != nil {
		r.trail.Failure("relayFailed").Text("what", "configuration").Text("from", address).Err(err).Merge("configuration " + address)
		return
	}
	r.configuration.apply(value, "host "+address)
}

// fetchEndpoints fetches the endpoints that another host knows, while the store does
// not answer this host or has not delivered the endpoints yet.
func (r *relay) fetchEndpoints(ctx context.Context, now time.Time) {
	if !r.endpoints.unavailable.Load() && isClosed(r.endpoints.loaded) || now.Sub(r.endpointsReadAt) < relayEndpointsInterval {
		return
	}
	address := r.mesh.HostWithStore()
	if address == "" {
		return
	}
	r.endpointsReadAt = now
	value, err := r.get(ctx, address, endpointsPath)
	if err == nil {
		err = r.applyEndpoints(value)
	}
	if err != nil {
		r.trail.Failure("relayFailed").Text("what", "endpoints").Text("from", address).Err(err).Merge("endpoints " + address)
	}
}

func (r *relay) applyEndpoints(value []byte) error {
	var entries []directory.Entry
	if err := json.Unmarshal(value, &entries); err != nil {
		return err
	}
	if len(entries) == 0 {
		return nil
	}
	for _, entry := range entries {
		r.decisions.post(entryObserved{entry: entry})
	}
	r.endpoints.markLoaded()
	return nil
}

func (r *relay) get(ctx context.Context, address, path string) ([]byte, error) {
	return httpjson.Fetch(ctx, r.client, http.MethodGet, "http://"+address+path, nil, maxRelayedBytes)
}

// peerHandler returns the handler for requests of other hosts.
func (g *Gateway) peerHandler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET "+configurationPath, func(w http.ResponseWriter, _ *http.Request) {
		active := g.configuration.active.Load()
		if active == nil {
			http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
			return
		}
		// An error means that the other host has disconnected.
		_, _ = w.Write(active.encoded)
	})
	routes.HandleFunc("GET "+endpointsPath, func(w http.ResponseWriter, _ *http.Request) {
		var entries []directory.Entry
		g.inspect(func() { entries = g.decisions.directory.Entries() })
		_ = json.NewEncoder(w).Encode(entries)
	})
	return routes
}

// peerEvents passes the messages and state changes of other hosts to the decision
// loop.
type peerEvents struct {
	decisions *decisionLoop
	trail     *trail.Trail
	zone      string
}

var _ peer.Listener = (*peerEvents)(nil)

// HandleMessage implements peer.Listener. A message is dropped if the ring is full, since
// the next complete message contains the current load.
func (l *peerEvents) HandleMessage(message peer.Message) {
	if message.ShuttingDown {
		l.decisions.events.TryPush(scheduling.PeerRemoved{Peer: message.Host})
		return
	}
	source := message.Host
	if message.Aggregate {
		source = peer.ZoneSource(message.Zone)
	}
	l.decisions.events.TryPush(scheduling.PeerReported{
		Peer:         source,
		Hosts:        message.Hosts,
		IncludesSelf: message.Aggregate && message.Zone == l.zone,
		Complete:     message.Complete,
		Loads:        message.Loads,
		Placements:   message.Placements,
	})
}

// HandleHostSilent implements peer.Listener.
func (l *peerEvents) HandleHostSilent(host string) {
	l.trail.Failure("hostSilent").Text("peer", host).Merge(host)
	l.decisions.events.TryPush(scheduling.PeerRemoved{Peer: host})
}

// HandleHostRestarted implements peer.Listener.
func (l *peerEvents) HandleHostRestarted(host string, silentFor time.Duration) {
	l.trail.Notice("hostRestarted").Text("peer", host).Millis("silentFor", silentFor).Merge(host)
}

// HandleSourceReplaced implements peer.Listener.
func (l *peerEvents) HandleSourceReplaced(source string) {
	l.decisions.events.TryPush(scheduling.PeerRemoved{Peer: source})
}

// Roster is the fleet's membership list in the store, to which each host adds its
// entry.
type Roster interface {
	keyedlog.Log
	// Put sets the value of a key.
	Put(ctx context.Context, topic, key string, value []byte) error
}

const (
	// rosterTopic is the topic of the roster in the store.
	rosterTopic = "keyed.cactuswellHosts"
	// rosterTimeout bounds one attempt to join the roster, and rosterRetryDelay is
	// the time between two attempts.
	rosterTimeout    = 1500 * time.Millisecond
	rosterRetryDelay = 700 * time.Millisecond
)

// rosterEntry is a host's entry in the roster.
type rosterEntry struct {
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Incarnation int64  `json:"born"`
	// LinkMbps is the bandwidth of the host's network link, or zero if it is not known.
	LinkMbps float64 `json:"linkMbps,omitempty"`
}

// joinRoster writes the host's entry to the roster and then reads the other entries,
// and retries until both have succeeded once. With this order, of two hosts that
// start at the same time at least one reads the other's entry, and the other one
// then receives its messages.
func (g *Gateway) joinRoster(ctx context.Context) error {
	entryWritten := false
	for ctx.Err() == nil {
		err := g.joinRosterOnce(ctx, &entryWritten)
		if err == nil {
			return nil
		}
		wake := g.timers.After(rosterRetryDelay)
		select {
		case <-ctx.Done():
		case <-wake.C():
		}
		wake.Stop()
	}
	return nil
}

func (g *Gateway) joinRosterOnce(ctx context.Context, entryWritten *bool) error {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	if !*entryWritten {
		value, err := json.Marshal(rosterEntry{
			Address:     g.PeerAddress(),
			Zone:        g.Settings.Zone,
			Incarnation: g.incarnation,
			LinkMbps:    g.Settings.LinkMbps,
		})
		if err != nil {
			return err
		}
		if err := g.Roster.Put(ctx, rosterTopic, g.Settings.Name, value); err != nil {
			g.trail.Failure("rosterFailed").Err(err).Merge("")
			return err
		}
		*entryWritten = true
	}
	listing, err := g.Roster.ListNewest(ctx, rosterTopic, "")
	if err != nil {
		g.trail.Failure("rosterFailed").Err(err).Merge("")
		return err
	}
	for _, record := range listing.Records {
		var entry rosterEntry
		if err := json.Unmarshal(record.Value, &entry); err != nil {
			g.trail.Failure("rosterEntryUnreadable").Text("peer", record.Key).Err(err).End()
			continue
		}
		g.mesh.AddHost(entry.Address, entry.Zone, entry.LinkMbps)
	}
	g.decisions.post(heartbeatRequested{})
	g.trail.Notice("rosterRead").Int("hosts", int64(len(listing.Records))).End()
	return nil
}
