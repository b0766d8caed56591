package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/gravitational/trace"

	"cactuswell/core/directory"
	"cactuswell/core/lineage"
	"cactuswell/core/replica"
	"cactuswell/core/route"
	"cactuswell/io/httpjson"
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
	// baseVersionsPath is the path on which a host serves the base versions to others.
	baseVersionsPath = "/v1/baseVersions"
	// eraKey is the key of the record that tells since when the store has lost no records.
	eraKey = "base.era"
	// writeTimeout bounds a write of records.
	writeTimeout = 500 * time.Millisecond
	// findTimeout bounds how long a stream that is taken up again waits for its version.
	findTimeout = 400 * time.Millisecond
	// baseTimeout bounds a read or write of a base version.
	baseTimeout = time.Second
	// baseInterval is the time between two checks of the base versions, and baseSpread the time
	// over which the hosts of a fleet spread theirs, for each host.
	baseInterval = time.Second
	baseSpread   = 20 * time.Millisecond
	// maxVersionBytes bounds a version.
	maxVersionBytes = 255
	// lifetimeFactor and lifetimeMargin give the lifetime of streams by the longest timeout
	// of their routes: callers may take a stream up again until their own deadline.
	lifetimeFactor = 1.5
	lifetimeMargin = time.Second
)

// VersionUnreadableError reports a record of a version that is not a host's.
type VersionUnreadableError struct {
	Key string
}

// Error returns a message with the record's key.
func (e *VersionUnreadableError) Error() string {
	return "the version in record " + e.Key + " cannot be read"
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
	// lostBases holds the services whose base version is known, and was missing at the last read.
	lostBases set.Set[string]
	// hasReadBases is set while the base versions are those of the store, as far as this host
	// knows, and hasEraRecord once the store tells the era.
	hasReadBases bool
	hasEraRecord bool
	// peers is the client for requests to other hosts.
	peers *http.Client
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
		lostBases:    set.New[string](),
		peers:        newPeerClient(),
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
		if r.tracker.Observe(now, name, present) {
			r.hasReadBases = false
		}
	}
}

// Find implements opaque.StreamVersions.
func (r *streamRecords) Find(ctx context.Context, service, requestID string) (opaque.FoundVersion, error) {
	// The endpoints may have changed without the knowledge of a host that is not in step.
	isInStep := r.gateway.mesh.IsInStep(r.gateway.Topics.Endpoints)
	if isInStep {
		if base, ok := r.settledBase(service); ok {
			return opaque.FoundVersion{
				Version: base,
				Source:  opaque.VersionSettled,
			}, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	if !isInStep || r.isBaseInDoubt(service) {
		// An error leaves the base that is known, and fails the next read too.
		_ = r.readBases(ctx)
	}
	r.gateway.meter.addToCounter("cactuswell_stream_versions_read_total", 1)
	r.mu.Lock()
	before := r.tracker.End()
	r.mu.Unlock()
	record, end, err := r.read(ctx, streamKey(requestID))
	if err != nil {
		return opaque.FoundVersion{}, trace.Wrap(err)
	}
	if record != nil {
		version, ok := r.decodeVersion(*record)
		if !ok {
			return opaque.FoundVersion{}, &VersionUnreadableError{Key: record.Key}
		}
		return opaque.FoundVersion{
			Version: version,
			Source:  opaque.VersionRecorded,
		}, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	version, err := r.tracker.Unrecorded(r.gateway.timers.Now(), service, before, end)
	return opaque.FoundVersion{
		Version: version,
		Source:  opaque.VersionOfBase,
	}, err
}

func (r *streamRecords) isBaseInDoubt(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.IsBaseInDoubt(r.gateway.timers.Now(), service)
}

// settledBase returns the base version of a service. It reports false if streams of other versions
// may be taken up again.
func (r *streamRecords) settledBase(service string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	base, _ := r.tracker.Base(service)
	return base, r.tracker.IsSettled(r.gateway.timers.Now(), service)
}

// read returns the record with a key, or nil, and the end of the records as of the read.
func (r *streamRecords) read(ctx context.Context, key string) (found *keyedlog.Record, end replica.Position, err error) {
	// Keys are listed in order, so that the page after a prefix of the key begins with it.
	after := key[:len(key)-1]
	for {
		page, err := r.gateway.Roster.ListNewest(ctx, streamTopic, after)
		if err != nil {
			return nil, end, err
		}
		end = replica.Position{
			Era:    page.Era,
			Offset: page.EndOffset,
		}
		previous := after
		for _, record := range page.Records {
			if record.Key == key {
				return &record, end, nil
			}
			if previous < key && record.Key > key {
				return nil, end, nil
			}
			previous = record.Key
		}
		if !page.More {
			return nil, end, nil
		}
		if !page.Advances(after) {
			return nil, end, &keyedlog.EndlessListingError{
				Topic:   streamTopic,
				Records: len(page.Records),
			}
		}
		after = page.NextAfter
	}
}

// runBase reads the base versions when the host starts and after the store has lost records, and
// changes them when they are due.
func (r *streamRecords) runBase(ctx context.Context) error {
	for ctx.Err() == nil {
		r.mu.Lock()
		isRead, hasBases := r.hasReadBases, len(r.bases) > 0
		r.mu.Unlock()
		if hasBases && !isRead {
			r.waitForTurn(ctx)
		}
		switch {
		case isRead || r.readBases(ctx) == nil:
			r.proposeBases(ctx)
		case !hasBases:
			r.fetchBases(ctx)
		}
		r.gateway.waitFor(ctx, baseInterval)
	}
	return nil
}

// readBases reads the base versions and the era from the store.
func (r *streamRecords) readBases(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, baseTimeout)
	defer cancel()
	// Keys are listed in order, so that the page after a prefix of baseKeyPrefix and eraKey begins
	// with them.
	page, err := r.gateway.Roster.ListNewest(ctx, streamTopic, baseKeyPrefix[:len(baseKeyPrefix)-1])
	if err != nil {
		r.gateway.trail.Failure("baseVersionsUnread").Err(err).Merge("")
		return trace.Wrap(err)
	}
	now := r.gateway.timers.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.ObserveEnd(now, replica.Position{
		Era:    page.Era,
		Offset: page.EndOffset,
	})
	era, since := page.Era, time.Time{}
	if era > 0 {
		// The store has lost records, and that of the time at which it did.
		since = now
	}
	r.hasEraRecord = false
	r.lostBases = set.New[string]()
	if !page.More || len(page.Records) > 0 && !strings.HasPrefix(page.Records[len(page.Records)-1].Key, baseKeyPrefix) {
		r.lostBases = set.New(slices.Collect(maps.Keys(r.bases))...)
	}
	for _, record := range page.Records {
		if record.Key == eraKey {
			era, since = parseEra(now, strings.TrimPrefix(string(record.Value), valuePrefix))
			r.hasEraRecord = era == page.Era
		}
		service, ok := strings.CutPrefix(record.Key, baseKeyPrefix)
		if !ok {
			continue
		}
		r.lostBases.Remove(service)
		if version, ok := r.decodeVersion(record); ok {
			r.setBase(service, version)
		}
	}
	for _, service := range r.lostBases.Values() {
		r.setBase(service, r.bases[service])
	}
	r.tracker.SetEra(now, era, since)
	r.hasReadBases = true
	return nil
}

// baseVersions is the answer of a host to another one that cannot read the store.
type baseVersions struct {
	Versions map[string]string `json:"versions"`
}

// fetchBases asks another host for the base versions that this host does not know.
func (r *streamRecords) fetchBases(ctx context.Context) {
	address := r.gateway.mesh.PickHost(func(string) bool { return false })
	if address == "" {
		return
	}
	var fetched baseVersions
	body, err := httpjson.Fetch(ctx, r.peers, http.MethodGet, "http://"+address+baseVersionsPath, nil, maxRelayedBytes)
	if err == nil {
		err = json.Unmarshal(body, &fetched)
	}
	if err != nil {
		r.gateway.trail.Failure("relayFailed").Text("what", "baseVersions").Text("from", address).Err(err).Merge("baseVersions " + address)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, version := range fetched.Versions {
		if _, ok := r.tracker.Base(service); !ok {
			r.setBase(service, version)
		}
	}
}

// serveBases serves the base versions that this host knows to others.
func (r *streamRecords) serveBases(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	known := baseVersions{Versions: r.bases}
	r.mu.Unlock()
	// An error means that the other host has disconnected.
	_ = json.NewEncoder(w).Encode(known)
}

// decodeVersion returns the version in a record. It reports false, and logs it, if the record is
// not a host's.
func (r *streamRecords) decodeVersion(record keyedlog.Record) (string, bool) {
	version, ok := strings.CutPrefix(string(record.Value), valuePrefix)
	if ok && len(version) <= maxVersionBytes && utf8.ValidString(version) && strings.TrimSpace(version) == version &&
		!strings.ContainsFunc(version, unicode.IsControl) {
		return version, true
	}
	key := record.Key[:min(len(record.Key), maxLoggedKey)]
	r.gateway.trail.Failure("versionUnreadable").Text("key", key).Int("bytes", int64(len(record.Value))).Merge(key)
	return "", false
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

// parseEra returns an era and since when the store has had it, from the value of its record: the
// era and the Unix time in milliseconds, or 0 for the store's beginning. Clocks may differ: a time
// in the future counts as now.
func parseEra(now time.Time, value string) (era int64, since time.Time) {
	eraText, sinceText, _ := strings.Cut(value, " ")
	era, eraErr := strconv.ParseInt(eraText, 10, 64)
	millis, sinceErr := strconv.ParseInt(sinceText, 10, 64)
	if eraErr != nil || sinceErr != nil {
		return -1, now
	}
	if millis == 0 {
		return era, time.Time{}
	}
	return era, now.Add(-max(time.Since(time.UnixMilli(millis)), 0))
}

// eraRecord returns the record of the era. It reports false if the store has it.
func (r *streamRecords) eraRecord() (keyedlog.Record, bool) {
	now := r.gateway.timers.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	since, ok := r.tracker.EraSince()
	millis := int64(0)
	if !since.IsZero() {
		millis = time.Now().Add(-now.Sub(since)).UnixMilli()
	}
	return keyedlog.Record{
		Key:   eraKey,
		Value: fmt.Appendf(nil, "%s%d %d", valuePrefix, r.tracker.Era(), millis),
	}, ok && !r.hasEraRecord
}

// handleRewind takes account of the records that the store has lost: those of this host are to be
// written again, and the base versions to be read again.
func (r *streamRecords) handleRewind(era int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.ObserveEnd(r.gateway.timers.Now(), replica.Position{Era: era})
	r.hasReadBases = false
}

// proposeBases changes the base versions that are due and records the era, unless another host
// has done so.
func (r *streamRecords) proposeBases(ctx context.Context) {
	if _, isEraDue := r.eraRecord(); !isEraDue && len(r.proposals()) == 0 {
		return
	}
	r.waitForTurn(ctx)
	if r.readBases(ctx) != nil {
		return
	}
	var records []keyedlog.Record
	era, isEraDue := r.eraRecord()
	if isEraDue {
		records = append(records, era)
	}
	due := r.proposals()
	for service, version := range due {
		records = append(records, keyedlog.Record{
			Key:   baseKeyPrefix + service,
			Value: []byte(valuePrefix + version),
		})
	}
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, baseTimeout)
	defer cancel()
	if err := r.gateway.Roster.PutAll(ctx, streamTopic, records); err != nil {
		r.gateway.trail.Failure("baseVersionNotSaved").Err(err).Merge("")
		return
	}
	r.mu.Lock()
	r.hasEraRecord = r.hasEraRecord || isEraDue
	for service, version := range due {
		r.setBase(service, version)
		r.lostBases.Remove(service)
	}
	r.mu.Unlock()
	for service, version := range due {
		r.gateway.trail.Notice("baseVersionSet").Text("service", service).Text("version", version).End()
	}
}

// waitForTurn waits for a random time, so that the hosts of a fleet do not read the store at once.
func (r *streamRecords) waitForTurn(ctx context.Context) {
	r.gateway.waitFor(ctx, rand.N(time.Duration(max(r.gateway.decisions.hostCount.Load(), 1))*baseSpread))
}

// proposals returns the base versions that are due, by service: those that change, and those that
// the store has lost.
func (r *streamRecords) proposals() map[string]string {
	now := r.gateway.timers.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	due := make(map[string]string)
	for _, name := range r.tracker.Services() {
		if version, ok := r.tracker.ProposedBase(now, name); ok {
			due[name] = version
		} else if r.lostBases.Has(name) && !r.tracker.IsBaseInDoubt(now, name) {
			due[name] = r.bases[name]
		}
	}
	return due
}
