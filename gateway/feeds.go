package gateway

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"cactuswell/core/directory"
	"cactuswell/core/route"
	"cactuswell/core/scheduling"
	"cactuswell/io/keyedlog"
	"cactuswell/trail"
)

// Decoder reads the values of the store.
type Decoder interface {
	// Configuration reads a configuration.
	Configuration(value []byte) (route.Spec, error)
	// Endpoint reads an endpoint's entry.
	Endpoint(id string, value []byte) (directory.Entry, error)
}

// configurationFeed keeps the newest configuration. Versions only go forward.
type configurationFeed struct {
	key     string
	decoder Decoder
	trail   *trail.Trail
	decided *decisions
	inForce atomic.Pointer[inForce]
	lost    atomic.Bool
	taking  sync.Mutex
	// known is closed when there is a configuration.
	known chan struct{}
}

// inForce is a configuration with its source.
type inForce struct {
	table   *route.Table
	raw     []byte
	takenAt time.Time
}

// current returns the configuration in force, or nil.
func (f *configurationFeed) current() *route.Table {
	if known := f.inForce.Load(); known != nil {
		return known.table
	}
	return nil
}

// version returns the version in force, or a negative number.
func (f *configurationFeed) version() int64 {
	if table := f.current(); table != nil {
		return table.Version()
	}
	return -1
}

var _ keyedlog.Listener = (*configurationFeed)(nil)

// HandleListing implements keyedlog.Listener.
func (f *configurationFeed) HandleListing(records []keyedlog.Record) { f.HandleRecords(records) }

// HandleRecords implements keyedlog.Listener.
func (f *configurationFeed) HandleRecords(records []keyedlog.Record) {
	for _, record := range records {
		if record.Key == f.key && !record.Deleted {
			f.take(record.Value, fmt.Sprintf("offset %d", record.Offset))
		}
	}
}

// take puts a configuration in force if it is newer than the one in force. One
// that cannot be used leaves that as it is. The store and other hosts bring
// configurations at the same time.
func (f *configurationFeed) take(value []byte, source string) {
	f.taking.Lock()
	defer f.taking.Unlock()
	spec, err := f.decoder.Configuration(value)
	if err != nil {
		f.trail.Failure("configurationRefused").Text("source", source).Err(err).End()
		return
	}
	if spec.Version <= f.version() {
		return
	}
	table, err := route.New(spec)
	if err != nil {
		f.trail.Failure("configurationRefused").Int("version", spec.Version).Text("source", source).Err(err).End()
		return
	}
	before := f.version()
	f.inForce.Store(&inForce{
		table:   table,
		raw:     value,
		takenAt: time.Now(),
	})
	f.decided.post(scheduling.ConfigurationChanged{Table: table})
	if before < 0 {
		close(f.known)
	}
	f.trail.Notice("configurationTaken").Int("version", table.Version()).Int("before", before).
		Text("source", source).Int("routes", int64(table.RouteCount())).Int("teams", int64(table.TeamCount())).End()
}

// HandleOutage implements keyedlog.Listener.
func (f *configurationFeed) HandleOutage(err error) {
	f.lost.Store(true)
	f.trail.Failure("storeLost").Text("topic", "configuration").Err(err).Merge("configuration")
}

// HandleRecovery implements keyedlog.Listener.
func (f *configurationFeed) HandleRecovery(away time.Duration) {
	f.lost.Store(false)
	f.trail.Failure("storeBack").Text("topic", "configuration").Millis("away", away).Merge("configuration")
}

// endpointFeed tells the decisions of the endpoints' entries.
type endpointFeed struct {
	decoder Decoder
	trail   *trail.Trail
	decided *decisions
	lost    atomic.Bool
	// known is closed when the endpoints are known.
	known     chan struct{}
	knownOnce sync.Once
	// unreadable are the ids whose entry could not be read, each told once.
	unreadable map[string]bool
}

var _ keyedlog.Listener = (*endpointFeed)(nil)

// HandleListing implements keyedlog.Listener.
func (f *endpointFeed) HandleListing(records []keyedlog.Record) {
	listing := entriesListed{
		ids: make(map[string]bool, len(records)),
	}
	for _, record := range records {
		entry, ok := f.decode(record)
		if ok {
			listing.ids[entry.ID] = true
			listing.entries = append(listing.entries, entry)
		}
	}
	f.decided.post(listing)
	f.setKnown()
}

func (f *endpointFeed) setKnown() {
	f.knownOnce.Do(func() { close(f.known) })
}

// HandleRecords implements keyedlog.Listener.
func (f *endpointFeed) HandleRecords(records []keyedlog.Record) {
	for _, record := range records {
		if record.Deleted {
			f.decided.post(entryLapsed{id: record.Key})
			continue
		}
		if entry, ok := f.decode(record); ok {
			f.decided.post(entryObserved{entry: entry})
		}
	}
}

// decode reads an entry. One that cannot be read names no endpoint; what was
// known of its id stays.
func (f *endpointFeed) decode(record keyedlog.Record) (directory.Entry, bool) {
	entry, err := f.decoder.Endpoint(record.Key, record.Value)
	if err == nil {
		return entry, true
	}
	if !f.unreadable[record.Key] && len(f.unreadable) < maxUnreadable {
		f.unreadable[record.Key] = true
		f.trail.Failure("entryUnreadable").Text("endpoint", record.Key).Int("offset", record.Offset).Err(err).End()
	}
	return directory.Entry{}, false
}

// maxUnreadable bounds the ids that are told of.
const maxUnreadable = 1000

// HandleOutage implements keyedlog.Listener.
func (f *endpointFeed) HandleOutage(err error) {
	f.lost.Store(true)
	f.trail.Failure("storeLost").Text("topic", "endpoints").Err(err).Merge("endpoints")
	f.decided.post(entriesLost{})
}

// HandleRecovery implements keyedlog.Listener.
func (f *endpointFeed) HandleRecovery(away time.Duration) {
	f.lost.Store(false)
	f.trail.Failure("storeBack").Text("topic", "endpoints").Millis("away", away).Merge("endpoints")
	f.decided.post(entriesBack{})
}
