package gateway

import (
	"bytes"
	"cmp"
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cactuswell/core/directory"
	"cactuswell/core/replica"
	"cactuswell/core/route"
	"cactuswell/core/scheduling"
	"cactuswell/io/keyedlog"
	"cactuswell/set"
	"cactuswell/trail"
)

// Decoder decodes the values of the store's records.
type Decoder interface {
	// Configuration decodes a configuration.
	Configuration(value []byte) (route.Spec, error)
	// ConfigurationVersion returns the version of a configuration without decoding the rest.
	ConfigurationVersion(value []byte) (int64, error)
	// Endpoint decodes the entry of the endpoint with the given ID.
	Endpoint(id string, value []byte) (directory.Entry, error)
}

// configurationFeed holds the newest configuration that the host has received. Its
// version never decreases.
type configurationFeed struct {
	key         string
	decoder     Decoder
	trail       *trail.Trail
	decisions   *decisionLoop
	active      atomic.Pointer[activeConfiguration]
	unavailable atomic.Bool
	meter       *meter
	applyMu     sync.Mutex
	// isApplying is set while a configuration is decoded and put into effect.
	isApplying atomic.Bool
	// aheadSince is when another host was first heard to have a newer configuration than this one's,
	// or nil.
	aheadSince atomic.Pointer[time.Time]
	// loaded is closed when the first configuration has been applied.
	loaded chan struct{}
}

// activeConfiguration is the configuration in effect. It includes the encoded form,
// which other hosts may request.
type activeConfiguration struct {
	table     *route.Table
	encoded   []byte
	appliedAt time.Time
}

// current returns the configuration in effect, or nil.
func (f *configurationFeed) current() *route.Table {
	if active := f.active.Load(); active != nil {
		return active.table
	}
	return nil
}

// inForce returns the configuration in effect and since when it has been, or nil.
func (f *configurationFeed) inForce() (*route.Table, time.Time) {
	if active := f.active.Load(); active != nil {
		return active.table, active.appliedAt
	}
	return nil, time.Time{}
}

// observeAhead records that another host has a newer configuration.
func (f *configurationFeed) observeAhead(now time.Time) {
	f.aheadSince.CompareAndSwap(nil, &now)
}

// aheadFor returns for how long another host has been known to have a newer configuration, or zero.
func (f *configurationFeed) aheadFor(now time.Time) time.Duration {
	if since := f.aheadSince.Load(); since != nil {
		return now.Sub(*since)
	}
	return 0
}

// version returns the version in effect, or a negative number if there is none.
func (f *configurationFeed) version() int64 {
	if table := f.current(); table != nil {
		return table.Version()
	}
	return -1
}

var _ keyedlog.Listener = (*configurationFeed)(nil)

// HandleListing implements keyedlog.Listener.
func (f *configurationFeed) HandleListing(records []keyedlog.Record) { f.HandleRecords(records) }

// HandleRecords implements keyedlog.Listener. Of several versions the newest valid one is put into
// effect; those that it has replaced are not decoded.
func (f *configurationFeed) HandleRecords(records []keyedlog.Record) {
	candidates := slices.DeleteFunc(slices.Clone(records), func(record keyedlog.Record) bool {
		return record.Key != f.key || record.Deleted
	})
	if len(candidates) > 1 {
		f.sortByVersion(candidates)
	}
	for _, record := range candidates {
		if f.apply(record.Value, fmt.Sprintf("offset %d", record.Offset)) {
			return
		}
	}
}

// sortByVersion sorts configurations, the newest ones first. Those whose version cannot be decoded
// are before them, so that they are reported.
func (f *configurationFeed) sortByVersion(records []keyedlog.Record) {
	versions := make(map[int64]int64, len(records))
	for _, record := range records {
		version, err := f.decoder.ConfigurationVersion(record.Value)
		if err != nil {
			version = math.MaxInt64
		}
		versions[record.Offset] = version
	}
	slices.SortStableFunc(records, func(a, b keyedlog.Record) int {
		return cmp.Compare(versions[b.Offset], versions[a.Offset])
	})
}

// apply puts a configuration into effect if it is newer than the current one. An
// invalid configuration is logged and ignored. The value of the current one, which may come again
// from another source, is not decoded. apply may run concurrently, as both
// the store and other hosts deliver configurations. It reports whether the configuration is valid.
func (f *configurationFeed) apply(value []byte, source string) bool {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if active := f.active.Load(); active != nil && bytes.Equal(active.encoded, value) {
		return true
	}
	f.isApplying.Store(true)
	defer f.isApplying.Store(false)
	startedAt := time.Now()
	spec, err := f.decoder.Configuration(value)
	if err != nil {
		f.trail.Failure("configurationRefused").Text("source", source).Err(err).End()
		return false
	}
	if spec.Version <= f.version() {
		return true
	}
	table, err := route.New(spec)
	if err != nil {
		f.trail.Failure("configurationRefused").Int("version", spec.Version).Text("source", source).Err(err).End()
		return false
	}
	before := f.version()
	now := time.Now()
	f.active.Store(&activeConfiguration{
		table:     table,
		encoded:   value,
		appliedAt: now,
	})
	behind := f.aheadFor(now)
	f.aheadSince.Store(nil)
	f.meter.observeDuration("cactuswell_configuration_lag_seconds{", behind)
	f.decisions.post(scheduling.ConfigurationChanged{Table: table})
	if before < 0 {
		close(f.loaded)
	}
	f.trail.Notice("configurationTaken").Int("version", table.Version()).Int("before", before).
		Text("source", source).Int("routes", int64(table.RouteCount())).Int("teams", int64(table.TeamCount())).
		Int("bytes", int64(len(value))).Millis("decode", now.Sub(startedAt)).Millis("behind", behind).End()
	return true
}

// HandleRewind implements keyedlog.Listener.
func (f *configurationFeed) HandleRewind(before, after replica.Position) {
	logRewind(f.trail, "configuration", before, after)
}

// logRewind logs that the store has come back from an older copy of itself.
func logRewind(lines *trail.Trail, topic string, before, after replica.Position) {
	lines.Failure("storeRewound").Text("topic", topic).Int("eraBefore", before.Era).Int("offsetBefore", before.Offset).
		Int("era", after.Era).Int("offset", after.Offset).End()
}

// HandleOutage implements keyedlog.Listener.
func (f *configurationFeed) HandleOutage(err error) {
	f.unavailable.Store(true)
	f.trail.Failure("storeLost").Text("topic", "configuration").Err(err).Merge("configuration")
}

// HandleRecovery implements keyedlog.Listener.
func (f *configurationFeed) HandleRecovery(outage time.Duration) {
	f.unavailable.Store(false)
	f.trail.Failure("storeBack").Text("topic", "configuration").Millis("away", outage).Merge("configuration")
}

// endpointFeed passes the endpoints' entries from the store to the decision loop.
type endpointFeed struct {
	decoder     Decoder
	trail       *trail.Trail
	decisions   *decisionLoop
	unavailable atomic.Bool
	// loaded is closed when the endpoints have been loaded.
	loaded     chan struct{}
	loadedOnce sync.Once
	// streams holds the records of streams, which the store may have lost. It is nil if the host
	// has no roster.
	streams *streamRecords
	// rewinds counts how often the store has come back from an older copy of itself.
	rewinds atomic.Int64
	// rewound is signaled each time.
	rewound chan struct{}
	meter   *meter
	// ownAddresses are the addresses at which the host accepts requests.
	ownAddresses set.Set[string]
	// loggedUnreadable holds the IDs whose entry could not be decoded. Each is
	// logged once, until it can be decoded again.
	loggedUnreadable map[string]bool
}

var _ keyedlog.Listener = (*endpointFeed)(nil)

// HandleListing implements keyedlog.Listener.
func (f *endpointFeed) HandleListing(records []keyedlog.Record) {
	listing := entriesListed{
		ids: make(map[string]bool, len(records)),
	}
	for _, record := range records {
		// An entry that cannot be decoded is still there, so it has not expired.
		listing.ids[record.Key] = true
		if entry, ok := f.decodeEntry(record); ok {
			listing.entries = append(listing.entries, directory.Listed{
				Entry:  entry,
				Offset: record.Offset,
			})
		}
	}
	f.decisions.post(listing)
	f.markLoaded()
}

func (f *endpointFeed) markLoaded() {
	f.loadedOnce.Do(func() { close(f.loaded) })
}

// HandleRecords implements keyedlog.Listener.
func (f *endpointFeed) HandleRecords(records []keyedlog.Record) {
	for _, record := range records {
		if record.Deleted {
			f.decisions.post(entryDeleted{id: record.Key})
			continue
		}
		if entry, ok := f.decodeEntry(record); ok {
			f.decisions.post(entryObserved{entry: entry})
		}
	}
}

// decodeEntry decodes an entry. An entry that cannot be decoded is logged and
// ignored. If it was appended, the last valid entry of its ID stays in effect.
func (f *endpointFeed) decodeEntry(record keyedlog.Record) (directory.Entry, bool) {
	entry, err := f.decode(record)
	if err == nil {
		delete(f.loggedUnreadable, record.Key)
		return entry, true
	}
	f.meter.addToCounter("cactuswell_entries_unreadable_total", 1)
	if !f.loggedUnreadable[record.Key] && len(f.loggedUnreadable) < maxLoggedUnreadable {
		f.loggedUnreadable[record.Key] = true
		f.trail.Failure("entryUnreadable").Text("endpoint", record.Key[:min(len(record.Key), maxLoggedKey)]).Int("offset", record.Offset).Err(err).End()
	}
	return directory.Entry{}, false
}

// LargeEntryError reports an entry that is too large to be kept.
type LargeEntryError struct {
	// Bytes is its size.
	Bytes int
}

// Error names the size.
func (e *LargeEntryError) Error() string {
	return fmt.Sprintf("an entry of %d bytes, at most %d are kept", e.Bytes, maxEntryBytes)
}

func (f *endpointFeed) decode(record keyedlog.Record) (directory.Entry, error) {
	if record.Omitted > 0 {
		return directory.Entry{}, &LargeEntryError{Bytes: record.Omitted}
	}
	entry, err := f.decoder.Endpoint(record.Key, record.Value)
	if err == nil && f.ownAddresses.Has(entry.Address) {
		err = &OwnAddressError{Address: entry.Address}
	}
	return entry, err
}

// OwnAddressError reports an entry that names this host. Calls would return to it without end.
type OwnAddressError struct {
	Address string
}

// Error names the address.
func (e *OwnAddressError) Error() string {
	return e.Address + " is an address of this host"
}

const (
	// maxLoggedUnreadable bounds the number of IDs whose unreadable entry is logged.
	maxLoggedUnreadable = 1000
	// maxLoggedKey bounds a key in a log line, in bytes.
	maxLoggedKey = 255
)

// HandleRewind implements keyedlog.Listener.
func (f *endpointFeed) HandleRewind(before, after replica.Position) {
	logRewind(f.trail, "endpoints", before, after)
	f.rewinds.Add(1)
	if f.streams != nil {
		f.streams.handleRewind(after.Era)
	}
	select {
	case f.rewound <- struct{}{}:
	default:
	}
	f.decisions.post(entrySourceRewound{})
}

// HandleOutage implements keyedlog.Listener.
func (f *endpointFeed) HandleOutage(err error) {
	f.unavailable.Store(true)
	f.trail.Failure("storeLost").Text("topic", "endpoints").Err(err).Merge("endpoints")
	f.decisions.post(entrySourceUnavailable{})
}

// HandleRecovery implements keyedlog.Listener.
func (f *endpointFeed) HandleRecovery(outage time.Duration) {
	f.unavailable.Store(false)
	f.trail.Failure("storeBack").Text("topic", "endpoints").Millis("away", outage).Merge("endpoints")
	f.decisions.post(entrySourceRecovered{})
}
