package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cactuswell/core/replica"
	"cactuswell/io/changes"
	"cactuswell/io/httpjson"
	"cactuswell/io/keyedlog"
	"cactuswell/io/peer"
	"cactuswell/io/progress"
)

const (
	// changesPath is the path on which a host serves the changes of its copies to others.
	changesPath = "/v1/changes"
	// endpointReadInterval is the minimum time between two deliveries of changed entries.
	// A change passes a reader, a relay and a host, each of which may wait that long; a
	// leaving endpoint must receive no calls later than two seconds after it announced
	// that.
	endpointReadInterval = 200 * time.Millisecond
	// maxEntryBytes bounds an endpoint's entry; a usual one has some hundred bytes. The entries
	// of a large fleet stay below maxChangesBytes then, whatever some of them hold.
	maxEntryBytes = 16 << 10
	// maxChangesBytes bounds the size of another host's changes.
	maxChangesBytes = 8 << 20
)

// buildFollowers creates the followers of the store's topics.
func (g *Gateway) buildFollowers() {
	g.followers = map[string]*keyedlog.Follower{
		g.Topics.Configuration: g.newFollower(g.Topics.Configuration, g.configuration, 0, 0),
		g.Topics.Endpoints:     g.newFollower(g.Topics.Endpoints, g.endpoints, endpointReadInterval, maxEntryBytes),
	}
}

func (g *Gateway) newFollower(topic string, listener keyedlog.Listener, interval time.Duration, maxValueBytes int) *keyedlog.Follower {
	dependencies := keyedlog.Dependencies{
		Log:             g.Log,
		Topic:           topic,
		Listener:        listener,
		Timers:          g.timers,
		MinReadInterval: interval,
		MaxValueBytes:   maxValueBytes,
		RecordCall:      g.recordStoreCall,
		RecordUnreadable: func(count int) {
			g.recordUnreadable(topic, count)
		},
		RecordReadFailure: func(err error) {
			g.recordReadFailure(topic, err)
		},
		RecordStandIn: func() {
			g.meter.addToCounter("cactuswell_store_stand_in_reads_total", 1)
			g.trail.Notice("storeReadForReaders").Text("topic", topic).Merge(topic)
		},
	}
	if g.Settings.PeerListen != "" {
		dependencies.Peers = newCopies(g)
	}
	return keyedlog.New(dependencies)
}

func (g *Gateway) recordStoreCall(took time.Duration, err error) {
	g.meter.observeDuration("cactuswell_store_call_seconds{", took)
	g.meter.addToCounter("cactuswell_store_calls_total", 1)
	if err != nil {
		g.meter.addToCounter("cactuswell_store_failures_total", 1)
	}
}

// recordUnreadable logs records of the store that cannot be decoded.
func (g *Gateway) recordUnreadable(topic string, count int) {
	g.meter.addToCounter("cactuswell_store_records_unreadable_total", int64(count))
	g.trail.Failure("recordsUnreadable").Text("topic", topic).Int("records", int64(count)).Merge(topic)
}

// recordReadFailure logs a read of the store that failed while other hosts read it.
func (g *Gateway) recordReadFailure(topic string, err error) {
	event := "storeReadFailed"
	var abandoned *keyedlog.AbandonedPollError
	if errors.As(err, &abandoned) {
		event = "pollAbandoned"
		g.meter.addToCounter("cactuswell_store_polls_abandoned_total", 1)
	}
	g.trail.Failure(event).Text("topic", topic).Err(err).Merge(topic)
}

// copies is the access of the followers to the copies of other hosts.
type copies struct {
	gateway *Gateway
	client  *http.Client
}

var _ keyedlog.Peers = (*copies)(nil)

func newCopies(g *Gateway) *copies {
	return &copies{
		gateway: g,
		client:  newTransferClient(),
	}
}

// View implements keyedlog.Peers.
func (c *copies) View(topic string, own replica.Position) replica.View {
	return c.gateway.mesh.View(topic, own)
}

// Publish implements keyedlog.Peers.
func (c *copies) Publish(topic string, end replica.Position, reads bool, readAt time.Time) {
	c.gateway.mesh.SetCopy(peer.Copy{
		Topic: topic,
		End:   end,
		Reads: reads,
	}, readAt)
}

// Fetch implements keyedlog.Peers. Changes whose values cannot be unpacked are fetched again without
// packing.
func (c *copies) Fetch(ctx context.Context, address, topic string, after replica.Position) (replica.Changes, error) {
	request := changes.Request{
		Topic:  topic,
		After:  after,
		Packed: true,
		Base:   changes.NoBase,
	}
	if record, ok := c.gateway.followers[topic].Large(); ok {
		request.Base = record.Offset
	}
	fetched, err := c.fetch(ctx, address, request)
	var malformed *changes.FormatError
	if errors.As(err, &malformed) {
		request.Packed = false
		return c.fetch(ctx, address, request)
	}
	return fetched, err
}

func (c *copies) fetch(ctx context.Context, address string, request changes.Request) (replica.Changes, error) {
	g := c.gateway
	g.meter.addToCounter("cactuswell_peer_fetches_total", 1)
	var fetched replica.Changes
	startedAt := time.Now()
	body, err := httpjson.Fetch(ctx, c.client, http.MethodGet, "http://"+address+changesPath+"?"+request.Query().Encode(), nil, maxChangesBytes)
	received := int64(len(body))
	g.meter.addToCounter("cactuswell_peer_fetch_bytes_total", received)
	if err == nil {
		fetched, err = changes.Decode(body, func(key string, offset int64) ([]byte, bool) {
			record, ok := g.followers[request.Topic].Record(key)
			return record.Value, ok && record.Offset == offset
		})
	}
	if err = progress.Cause(ctx, err); err != nil {
		g.meter.addToCounter("cactuswell_peer_fetch_failures_total", 1)
		g.trail.Failure("peerFetchFailed").Text("topic", request.Topic).Text("from", address).
			Int("bytes", received).Millis("after", time.Since(startedAt)).Err(err).Merge(request.Topic + " " + address)
		return replica.Changes{}, err
	}
	if request.Topic == g.Topics.Configuration {
		g.trail.Event("configurationFetched").Text("from", address).Int("bytes", received).
			Millis("after", time.Since(startedAt)).Int("offset", fetched.End.Offset).End()
	}
	return fetched, nil
}

// serveChanges serves the changes of this host's copies to other hosts.
func (g *Gateway) serveChanges(w http.ResponseWriter, r *http.Request) {
	request, err := changes.ParseRequest(r.URL.Query())
	follower := g.followers[request.Topic]
	if follower == nil || err != nil {
		http.Error(w, "unknown topic or malformed position", http.StatusBadRequest)
		return
	}
	later, ok := follower.ChangesAfter(request.After)
	if !ok {
		http.Error(w, "nothing later", http.StatusNotFound)
		return
	}
	body, err := g.changes.Encode(request, later, follower.Previous)
	if err != nil {
		g.trail.Failure("changesNotEncoded").Text("topic", request.Topic).Err(err).Merge(request.Topic)
		http.Error(w, "changes cannot be encoded", http.StatusInternalServerError)
		return
	}
	// An error means that the other host has disconnected.
	_, _ = w.Write(body)
}
