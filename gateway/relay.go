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
	// The paths on which hosts ask each other.
	configurationPath = "/v1/configuration"
	endpointsPath     = "/v1/endpoints"

	// relayEvery is the time between two looks for a newer configuration.
	relayEvery = 100 * time.Millisecond
	// relayAfter is how long another host may have a newer configuration before
	// it is asked: the store's own answer comes sooner.
	relayAfter = 200 * time.Millisecond
	// relayEndpointsEvery is the time between two reads of another host's
	// endpoints while the store does not answer this one.
	relayEndpointsEvery = 700 * time.Millisecond
	// relayTimeout bounds a call to another host.
	relayTimeout = time.Second
	// maxRelayed bounds what another host may answer, in bytes.
	maxRelayed = 8 << 20
)

// relay reads from other hosts what the store does not tell this one.
type relay struct {
	mesh          *peer.Mesh
	timers        *timer.Service
	trail         *trail.Trail
	decided       *decisions
	configuration *configurationFeed
	endpoints     *endpointFeed
	client        *http.Client

	behindSince time.Time
	endpointsAt time.Time
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
		decided:       g.decided,
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

// run looks for what other hosts know better until ctx ends.
func (r *relay) run(ctx context.Context) error {
	tick := r.timers.Every(relayEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C():
			r.readConfiguration(ctx, now)
			r.readEndpoints(ctx, now)
		}
	}
}

// readConfiguration asks a host that has had a newer configuration for a while.
func (r *relay) readConfiguration(ctx context.Context, now time.Time) {
	address := r.mesh.HostWithNewerConfiguration(r.configuration.version())
	if address == "" {
		r.behindSince = time.Time{}
		return
	}
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
	if now.Sub(r.behindSince) < relayAfter {
		return
	}
	value, err := r.get(ctx, address, configurationPath)
	if err != nil {
		r.trail.Failure("relayFailed").Text("what", "configuration").Text("from", address).Err(err).Merge("configuration " + address)
		return
	}
	r.configuration.take(value, "host "+address)
}

// readEndpoints takes the endpoints that another host knows, while the store
// does not answer this one.
func (r *relay) readEndpoints(ctx context.Context, now time.Time) {
	if !r.endpoints.lost.Load() && isClosed(r.endpoints.known) || now.Sub(r.endpointsAt) < relayEndpointsEvery {
		return
	}
	address := r.mesh.HostWithStore()
	if address == "" {
		return
	}
	r.endpointsAt = now
	value, err := r.get(ctx, address, endpointsPath)
	if err == nil {
		err = r.takeEndpoints(value)
	}
	if err != nil {
		r.trail.Failure("relayFailed").Text("what", "endpoints").Text("from", address).Err(err).Merge("endpoints " + address)
	}
}

func (r *relay) takeEndpoints(value []byte) error {
	var entries []directory.Entry
	if err := json.Unmarshal(value, &entries); err != nil {
		return err
	}
	if len(entries) == 0 {
		return nil
	}
	for _, entry := range entries {
		r.decided.post(entryObserved{entry: entry})
	}
	r.endpoints.setKnown()
	return nil
}

func (r *relay) get(ctx context.Context, address, path string) ([]byte, error) {
	return httpjson.Fetch(ctx, r.client, http.MethodGet, "http://"+address+path, nil, maxRelayed)
}

// peerHandler serves what other hosts ask for.
func (g *Gateway) peerHandler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET "+configurationPath, func(w http.ResponseWriter, _ *http.Request) {
		inForce := g.configuration.inForce.Load()
		if inForce == nil {
			http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
			return
		}
		// A host that is gone needs no answer.
		_, _ = w.Write(inForce.raw)
	})
	routes.HandleFunc("GET "+endpointsPath, func(w http.ResponseWriter, _ *http.Request) {
		var entries []directory.Entry
		g.look(func() { entries = g.decided.directory.Entries() })
		_ = json.NewEncoder(w).Encode(entries)
	})
	return routes
}

// peerListener tells the decisions of other hosts.
type peerListener struct {
	decided *decisions
	trail   *trail.Trail
	zone    string
}

var _ peer.Listener = (*peerListener)(nil)

// HandleMessage implements peer.Listener. A message that finds no room is dropped, as the
// next one replaces it.
func (l *peerListener) HandleMessage(message peer.Message) {
	if message.ShuttingDown {
		l.decided.events.TryPush(scheduling.PeerRemoved{Peer: message.Host})
		return
	}
	source := message.Host
	if message.Aggregate {
		source = peer.ZoneSource(message.Zone)
	}
	l.decided.events.TryPush(scheduling.PeerReported{
		Peer:         source,
		Hosts:        message.Hosts,
		IncludesSelf: message.Aggregate && message.Zone == l.zone,
		Complete:     message.Complete,
		Loads:        message.Load,
		Placements:   message.Placements,
	})
}

// HandleHostSilent implements peer.Listener.
func (l *peerListener) HandleHostSilent(host string) {
	l.trail.Failure("hostSilent").Text("peer", host).Merge(host)
	l.decided.events.TryPush(scheduling.PeerRemoved{Peer: host})
}

// HandleHostRestarted implements peer.Listener.
func (l *peerListener) HandleHostRestarted(host string, silentFor time.Duration) {
	l.trail.Notice("hostRestarted").Text("peer", host).Millis("silentFor", silentFor).Merge(host)
}

// HandleSourceReplaced implements peer.Listener.
func (l *peerListener) HandleSourceReplaced(source string) {
	l.decided.events.TryPush(scheduling.PeerRemoved{Peer: source})
}

// Roster is where the hosts of a fleet enter themselves.
type Roster interface {
	keyedlog.Log
	// Put sets the value of a key.
	Put(ctx context.Context, topic, key string, value []byte) error
}

const (
	// rosterTopic is the topic of the hosts' own in the store.
	rosterTopic = "keyed.cactuswellHosts"
	// rosterTimeout bounds a call for the roster, and rosterRetry is the time
	// between two tries.
	rosterTimeout = 1500 * time.Millisecond
	rosterRetry   = 700 * time.Millisecond
)

// rosterEntry is how to reach a host.
type rosterEntry struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Born    int64  `json:"born"`
}

// enroll enters the host in the roster and then reads the others, until both
// have succeeded once: of two hosts that start together, at least one sees the
// other, and the other then hears it.
func (g *Gateway) enroll(ctx context.Context) error {
	entered := false
	for ctx.Err() == nil {
		err := g.enrollOnce(ctx, &entered)
		if err == nil {
			return nil
		}
		wake := g.timers.After(rosterRetry)
		select {
		case <-ctx.Done():
		case <-wake.C():
		}
		wake.Stop()
	}
	return nil
}

func (g *Gateway) enrollOnce(ctx context.Context, entered *bool) error {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	if !*entered {
		value, err := json.Marshal(rosterEntry{
			Address: g.PeerAddress(),
			Zone:    g.Settings.Zone,
			Born:    g.born,
		})
		if err != nil {
			return err
		}
		if err := g.Roster.Put(ctx, rosterTopic, g.Settings.Name, value); err != nil {
			g.trail.Failure("rosterFailed").Err(err).Merge("")
			return err
		}
		*entered = true
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
		g.mesh.AddHost(entry.Address, entry.Zone)
	}
	g.decided.post(heartbeatDue{})
	g.trail.Notice("rosterRead").Int("hosts", int64(len(listing.Records))).End()
	return nil
}
