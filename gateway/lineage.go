package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"cactuswell/core/directory"
	"cactuswell/core/lineage"
	"cactuswell/core/route"
	"cactuswell/io/keyedlog"
	"cactuswell/io/opaque"
	"cactuswell/set"
)

const (
	// streamTopic is the topic of the records of streams. A record's value is valuePrefix and
	// the version, as a key without a value is dropped.
	streamTopic = "keyed.cactuswellStreams"
	valuePrefix = "="
	// baseKeyPrefix precedes a service's name in the key of its base version, and
	// streamKeyPrefix the hash of a request ID in that of a stream. Base versions come first
	// in a listing.
	baseKeyPrefix   = "base/"
	streamKeyPrefix = "stream/"
	// writeTimeout bounds a write of records, and writeRetryDelay is the time until the next one
	// if it fails.
	writeTimeout    = 500 * time.Millisecond
	writeRetryDelay = 50 * time.Millisecond
	// findTimeout bounds how long a stream that is taken up again waits for its version.
	findTimeout = 400 * time.Millisecond
	// baseTimeout bounds a read or write of a base version.
	baseTimeout = time.Second
	// baseInterval is the time between two checks of the base versions, and baseSpread the time
	// over which the hosts of a fleet spread theirs, for each host.
	baseInterval = time.Second
	baseSpread   = 20 * time.Millisecond
	// lifetimeFactor and lifetimeMargin give the lifetime of streams by the longest timeout
	// of their routes: callers may take a stream up again until their own deadline.
	lifetimeFactor = 1.5
	lifetimeMargin = time.Second
)

// VersionUnknownError reports that the software version of a stream is not known.
type VersionUnknownError struct {
	Service string
}

// Error returns a message with the service.
func (e *VersionUnknownError) Error() string {
	return "the software version of a stream of " + e.Service + " is not known"
}

// streamRecords keeps the software versions of streams in the store.
type streamRecords struct {
	gateway *Gateway

	mu      sync.Mutex
	tracker *lineage.Tracker
	outbox  *lineage.Outbox
	// acknowledged holds a channel for each record that the store has not acknowledged yet,
	// which is closed when it has.
	acknowledged map[*lineage.Entry]chan struct{}
	// bases holds the base versions. It is replaced when one changes; basesVersion counts that.
	bases        map[string]string
	basesVersion int
	// wake is signaled when a write is due.
	wake chan struct{}
}

var _ opaque.StreamVersions = (*streamRecords)(nil)

// streamVersions returns the records of streams for the callers' server, or nil.
func (g *Gateway) streamVersions() opaque.StreamVersions {
	if g.streams == nil {
		return nil
	}
	return g.streams
}

func newStreamRecords(g *Gateway) *streamRecords {
	return &streamRecords{
		gateway:      g,
		tracker:      lineage.New(),
		outbox:       lineage.NewOutbox(),
		acknowledged: make(map[*lineage.Entry]chan struct{}),
		bases:        make(map[string]string),
		wake:         make(chan struct{}, 1),
	}
}

// setRoutes takes over the lifetimes of streams from a configuration.
func (r *streamRecords) setRoutes(table *route.Table) {
	longest := make(map[string]time.Duration)
	for _, rt := range table.Routes() {
		if !rt.Resumable {
			continue
		}
		timeout := rt.Timeout
		if timeout <= 0 {
			timeout = opaque.MaxCallTime
		}
		for _, target := range rt.Targets {
			longest[target.Service] = max(longest[target.Service], timeout)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, timeout := range longest {
		r.tracker.SetLifetime(name, time.Duration(lifetimeFactor*float64(timeout))+lifetimeMargin)
	}
}

// observe takes over the versions of the endpoints.
func (r *streamRecords) observe(now time.Time, entries []directory.Entry) {
	versions := make(map[string]set.Set[string])
	for _, entry := range entries {
		if _, ok := versions[entry.Service]; !ok {
			versions[entry.Service] = set.New[string]()
		}
		versions[entry.Service].Add(entry.Version)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, present := range versions {
		r.tracker.Observe(now, name, present)
	}
}

// Find implements opaque.StreamVersions.
func (r *streamRecords) Find(ctx context.Context, service, requestID string) (opaque.FoundVersion, error) {
	r.mu.Lock()
	base, hasBase := r.tracker.Base(service)
	isSettled := r.tracker.IsSettled(r.gateway.timers.Now(), service)
	r.mu.Unlock()
	if isSettled {
		return opaque.FoundVersion{
			Version: base,
			Source:  opaque.VersionSettled,
		}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	r.gateway.meter.addToCounter("cactuswell_stream_versions_read_total", 1)
	version, found, err := r.read(ctx, streamKey(requestID))
	switch {
	case err != nil:
		return opaque.FoundVersion{}, trace.Wrap(err)
	case found:
		return opaque.FoundVersion{
			Version: version,
			Source:  opaque.VersionRecorded,
		}, nil
	case !hasBase:
		return opaque.FoundVersion{}, &VersionUnknownError{Service: service}
	}
	return opaque.FoundVersion{
		Version: base,
		Source:  opaque.VersionOfBase,
	}, nil
}

// read returns the version in the record with a key. It reports false if there is none.
func (r *streamRecords) read(ctx context.Context, key string) (version string, found bool, err error) {
	// Keys are listed in order, so that the page after a prefix of the key begins with it.
	after := key[:len(key)-1]
	for {
		page, err := r.gateway.Roster.ListNewest(ctx, streamTopic, after)
		if err != nil {
			return "", false, err
		}
		previous := after
		for _, record := range page.Records {
			if record.Key == key {
				return strings.TrimPrefix(string(record.Value), valuePrefix), true, nil
			}
			if previous < key && record.Key > key {
				return "", false, nil
			}
			previous = record.Key
		}
		if !page.More {
			return "", false, nil
		}
		if !page.Advances(after) {
			return "", false, &keyedlog.EndlessListingError{
				Topic:   streamTopic,
				Records: len(page.Records),
			}
		}
		after = page.NextAfter
	}
}

// runBase reads the base versions when the host starts, and changes them when they are due.
func (r *streamRecords) runBase(ctx context.Context) error {
	isRead := false
	for ctx.Err() == nil {
		if !isRead {
			isRead = r.readBases(ctx) == nil
		}
		if isRead {
			r.proposeBases(ctx)
		}
		r.gateway.waitFor(ctx, baseInterval)
	}
	return nil
}

// readBases reads the base versions from the store.
func (r *streamRecords) readBases(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, baseTimeout)
	defer cancel()
	page, err := r.gateway.Roster.ListNewest(ctx, streamTopic, "")
	if err != nil {
		r.gateway.trail.Failure("baseVersionsUnread").Err(err).Merge("")
		return trace.Wrap(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range page.Records {
		if service, ok := strings.CutPrefix(record.Key, baseKeyPrefix); ok {
			r.setBase(service, strings.TrimPrefix(string(record.Value), valuePrefix))
		}
	}
	return nil
}

// setBase sets a base version. The caller must hold r.mu.
func (r *streamRecords) setBase(service, version string) {
	r.tracker.SetBase(service, version)
	if known, ok := r.bases[service]; ok && known == version {
		return
	}
	r.bases = maps.Clone(r.bases)
	r.bases[service] = version
	r.basesVersion++
}

// proposeBases changes the base versions that are due, unless another host has done so.
func (r *streamRecords) proposeBases(ctx context.Context) {
	if len(r.proposals()) == 0 {
		return
	}
	r.gateway.waitFor(ctx, rand.N(time.Duration(max(r.gateway.decisions.hostCount.Load(), 1))*baseSpread))
	if r.readBases(ctx) != nil {
		return
	}
	for service, version := range r.proposals() {
		putCtx, cancel := context.WithTimeout(ctx, baseTimeout)
		err := r.gateway.Roster.PutAll(putCtx, streamTopic, []keyedlog.Record{{
			Key:   baseKeyPrefix + service,
			Value: []byte(valuePrefix + version),
		}})
		cancel()
		if err != nil {
			r.gateway.trail.Failure("baseVersionNotSaved").Text("service", service).Err(err).Merge(service)
			continue
		}
		r.mu.Lock()
		r.setBase(service, version)
		r.mu.Unlock()
		r.gateway.trail.Notice("baseVersionSet").Text("service", service).Text("version", version).End()
	}
}

// proposals returns the base versions that are due, by service.
func (r *streamRecords) proposals() map[string]string {
	now := r.gateway.timers.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	due := make(map[string]string)
	for _, name := range r.tracker.Services() {
		if version, ok := r.tracker.ProposedBase(now, name); ok {
			due[name] = version
		}
	}
	return due
}
