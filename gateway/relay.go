package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"cactuswell/core/scheduling"
	"cactuswell/io/changes"
	"cactuswell/io/httpjson"
	"cactuswell/io/keyedlog"
	"cactuswell/io/peer"
	"cactuswell/io/progress"
	"cactuswell/io/tcp"
	"cactuswell/io/upstream"
	"cactuswell/timer"
	"cactuswell/trail"
)

const (
	// configurationPath is the path on which a host serves its configuration to others.
	configurationPath = "/v1/configuration"

	// packedEncoding is the content encoding of a compressed configuration.
	packedEncoding = "zstd"

	// relayInterval is the time between two checks whether data must be fetched
	// from another host.
	relayInterval = 100 * time.Millisecond
	// relayDelay is how long another host must have had a newer configuration before
	// it is requested from that host. Usually the store delivers it sooner.
	relayDelay = 200 * time.Millisecond
	// copyPatience is how long the copy of the store may take to get a newer configuration before it
	// is also requested past the copy: a second transfer of the same takes half of the link.
	copyPatience = time.Second
	// relayTimeout bounds a request to another host.
	relayTimeout = time.Second
	// relaySilence bounds the time in which nothing of another host's configuration arrives, and
	// relayTime that of the whole.
	relaySilence = 600 * time.Millisecond
	relayTime    = 3 * time.Second
	// maxRelayedBytes bounds the size of another host's answer.
	maxRelayedBytes = 8 << 20
)

// relay fetches the configuration from other hosts that have a newer one in effect than
// the store delivers: a store that has come back from an older copy may lack it for a
// while.
type relay struct {
	mesh          *peer.Mesh
	timers        *timer.Service
	trail         *trail.Trail
	configuration *configurationFeed
	// follower keeps the copy of the configuration in the store.
	follower *keyedlog.Follower
	client   *http.Client

	// behindSince is when another host was first seen to have a newer configuration,
	// or zero.
	behindSince time.Time
}

func newRelay(g *Gateway) *relay {
	return &relay{
		mesh:          g.mesh,
		timers:        g.timers,
		trail:         g.trail,
		configuration: g.configuration,
		follower:      g.followers[g.Topics.Configuration],
		client:        newTransferClient(),
	}
}

// newPeerClient returns a client for requests to other hosts.
func newPeerClient() *http.Client {
	client := newTransferClient()
	client.Timeout = relayTimeout
	return client
}

// newTransferClient returns a client for requests to other hosts whose answers may be large. They
// are bounded by their contexts.
func newTransferClient() *http.Client {
	dialer := tcp.NewDialer(tcp.Settings{
		DialTimeout: relayTimeout / 2,
		AckTimeout:  relayTimeout,
		KeepAlive:   time.Second,
	})
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			IdleConnTimeout:        peerIdleTimeout,
			MaxResponseHeaderBytes: maxControlHeaderBytes,
			DisableCompression:     true,
		},
	}
}

// peerIdleTimeout is how long a connection to another host is kept without a request.
const peerIdleTimeout = 30 * time.Second

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
		}
	}
}

// fetchConfiguration fetches the configuration from a host with a newer one, once
// this host has been behind for relayDelay.
func (r *relay) fetchConfiguration(ctx context.Context, now time.Time) {
	address := r.mesh.HostWithNewerConfiguration(r.configuration.version())
	if address == "" {
		r.behindSince = time.Time{}
		if !r.isUnderWay() {
			// What was ahead is no newer configuration, as after the store has come back from an
			// older copy.
			r.configuration.aheadSince.Store(nil)
		}
		return
	}
	r.configuration.observeAhead(now)
	if r.isUnderWay() {
		r.behindSince = time.Time{}
		return
	}
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
	if now.Sub(r.behindSince) < relayDelay {
		return
	}
	startedAt := time.Now()
	value, err := r.get(ctx, address, configurationPath)
	if err != nil {
		r.trail.Failure("relayFailed").Text("what", "configuration").Text("from", address).
			Int("bytes", int64(len(value))).Millis("after", time.Since(startedAt)).Err(err).Merge("configuration " + address)
		return
	}
	r.configuration.apply(value, "host "+address)
}

// isUnderWay reports whether a newer configuration is about to come from the copy, or is being
// decoded.
func (r *relay) isUnderWay() bool {
	behindFor := r.follower.BehindFor()
	return behindFor > 0 && behindFor < copyPatience || r.follower.IsFetching() || r.configuration.isApplying.Load()
}

func (r *relay) get(ctx context.Context, address, path string) ([]byte, error) {
	ctx, cancel := progress.WithLimits(ctx, r.timers, progress.Limits{
		Silence: relaySilence,
		Total:   relayTime,
	})
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.Header.Set("Accept-Encoding", packedEncoding)
	body, header, err := httpjson.Do(r.client, request, maxRelayedBytes)
	if err != nil || header.Get("Content-Encoding") != packedEncoding {
		return body, progress.Cause(ctx, err)
	}
	return changes.Unpack(body, nil)
}

// peerHandler returns the handler for requests of other hosts.
func (g *Gateway) peerHandler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET "+configurationPath, g.serveConfiguration)
	routes.HandleFunc("GET "+changesPath, g.serveChanges)
	routes.HandleFunc("GET "+baseVersionsPath, g.streams.serveBases)
	if g.singleton != nil {
		routes.HandleFunc("POST "+usagePath, g.singleton.serveUsage)
	}
	return routes
}

// serveConfiguration serves the configuration in effect, compressed for hosts that accept it.
func (g *Gateway) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	active := g.configuration.active.Load()
	if active == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	body := active.encoded
	if r.Header.Get("Accept-Encoding") == packedEncoding {
		packed, err := g.changes.PackVersion(configurationPath, active.table.Version(), body)
		if err == nil {
			body = packed
			w.Header().Set("Content-Encoding", packedEncoding)
		}
	}
	// An error means that the other host has disconnected.
	_, _ = w.Write(body)
}

// peerEvents passes the messages and state changes of other hosts to the decision
// loop.
type peerEvents struct {
	decisions *decisionLoop
	pool      *upstream.Pool
	trail     *trail.Trail
	zone      string
	followers map[string]*keyedlog.Follower

	configuration      *configurationFeed
	configurationTopic string
}

var _ peer.Listener = (*peerEvents)(nil)

// HandleMessage implements peer.Listener. A message is dropped if the ring is full, since
// the next complete message contains the current load.
func (l *peerEvents) HandleMessage(message peer.Message) {
	if message.ShuttingDown {
		l.pool.StopUsingHost(message.Address)
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
		Notices:      message.Notices,
		Findings:     message.Findings,
		Limits:       message.Limits,
		CallDemands:  message.CallDemands,
		Speeds:       message.Speeds,
		Demands:      message.Demands,
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

// HandleCopyAhead implements peer.Listener.
func (l *peerEvents) HandleCopyAhead(topic string) {
	if topic == l.configurationTopic {
		l.configuration.observeAhead(time.Now())
	}
	if follower := l.followers[topic]; follower != nil {
		follower.Wake()
	}
}

// Roster is the fleet's membership list in the store, to which each host adds its
// entry.
type Roster interface {
	keyedlog.Log
	// Put sets the value of a key.
	Put(ctx context.Context, topic, key string, value []byte) error
	// PutAll sets the values of several keys, or of none. A key without a value is dropped.
	PutAll(ctx context.Context, topic string, records []keyedlog.Record) error
	// AppendAt appends records, all or none, if the topic ends at the given offset. The error is
	// a *keyedlog.ConditionError if it does not. After another error the records may have been
	// written, or may be later if the topic still ends there.
	AppendAt(ctx context.Context, topic string, at int64, records []keyedlog.Record) (keyedlog.Appended, error)
}

const (
	// rosterTopic is the topic of the roster in the store.
	rosterTopic = "keyed.cactuswellHosts"
	// rosterTimeout bounds one attempt to join the roster, and rosterRetryDelay is
	// the time between two attempts.
	rosterTimeout    = 1500 * time.Millisecond
	rosterRetryDelay = 700 * time.Millisecond
	// rosterMaxLoss is the age up to which an entry may be missing from the older copy
	// from which the store has come back, and rosterSpread the time over which hosts
	// spread their new entries then.
	rosterMaxLoss = time.Minute
	rosterSpread  = 2 * time.Second
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
// and retries until both have succeeded once. It writes the entry again when the store
// may have lost it. With this order, of two hosts that
// start at the same time at least one reads the other's entry, and the other one
// then receives its messages.
func (g *Gateway) joinRoster(ctx context.Context) error {
	entryWritten := false
	for ctx.Err() == nil {
		writtenAt := time.Now()
		if err := g.joinRosterOnce(ctx, &entryWritten); err != nil {
			g.waitFor(ctx, rosterRetryDelay)
			continue
		}
		select {
		case <-ctx.Done():
		case <-g.endpoints.rewound:
			// Hosts that write again at once would exceed the store's rate.
			g.waitFor(ctx, rand.N(rosterSpread))
			entryWritten = time.Since(writtenAt) > rosterMaxLoss
			g.decisions.signalQuarantines()
			g.streams.writeAgain()
		}
	}
	return nil
}

// waitFor waits for a time or until ctx is done.
func (g *Gateway) waitFor(ctx context.Context, delay time.Duration) {
	wake := g.timers.After(delay)
	defer wake.Stop()
	select {
	case <-ctx.Done():
	case <-wake.C():
	}
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
	hosts, err := g.readRoster(ctx)
	if err != nil {
		g.trail.Failure("rosterFailed").Err(err).Merge("")
		return err
	}
	g.mesh.MarkFleetKnown()
	g.decisions.post(heartbeatRequested{})
	g.trail.Notice("rosterRead").Int("hosts", int64(hosts)).End()
	return nil
}

// readRoster adds the hosts of the roster to the mesh, and returns their number. It takes over
// the quarantines that hosts have saved.
func (g *Gateway) readRoster(ctx context.Context) (int, error) {
	hosts, records := 0, 0
	for after := ""; ; {
		page, err := g.Roster.ListNewest(ctx, rosterTopic, after)
		if err != nil {
			return hosts, err
		}
		records += len(page.Records)
		for _, record := range page.Records {
			if g.restoreQuarantines(record) {
				continue
			}
			hosts++
			g.addRosterEntry(record)
		}
		if !page.More {
			return hosts, nil
		}
		if !page.Advances(after) {
			return hosts, &keyedlog.EndlessListingError{
				Topic:   rosterTopic,
				Records: records,
			}
		}
		after = page.NextAfter
	}
}

func (g *Gateway) addRosterEntry(record keyedlog.Record) {
	var entry rosterEntry
	if err := json.Unmarshal(record.Value, &entry); err != nil {
		g.trail.Failure("rosterEntryUnreadable").Text("peer", record.Key).Err(err).End()
		return
	}
	g.mesh.AddHost(entry.Address, entry.Zone, entry.LinkMbps)
}
