package gateway

import (
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
	table   atomic.Pointer[route.Table]
	takenAt atomic.Int64
}

var _ keyedlog.Listener = (*configurationFeed)(nil)

// Listed implements keyedlog.Listener.
func (f *configurationFeed) Listed(records []keyedlog.Record) { f.Appended(records) }

// Appended implements keyedlog.Listener.
func (f *configurationFeed) Appended(records []keyedlog.Record) {
	for _, record := range records {
		if record.Key == f.key && !record.Dropped {
			f.take(record)
		}
	}
}

// take puts a configuration in force if it is newer than the one in force. One
// that cannot be used leaves that as it is.
func (f *configurationFeed) take(record keyedlog.Record) {
	spec, err := f.decoder.Configuration(record.Value)
	if err != nil {
		f.trail.Failure("configurationRefused").Int("offset", record.Offset).Err(err).End()
		return
	}
	known := f.table.Load()
	if known != nil && spec.Version <= known.Version() {
		return
	}
	table, err := route.New(spec)
	if err != nil {
		f.trail.Failure("configurationRefused").Int("version", spec.Version).Int("offset", record.Offset).Err(err).End()
		return
	}
	f.table.Store(table)
	f.takenAt.Store(time.Now().UnixNano())
	f.decided.post(scheduling.ConfigurationChanged{Table: table})
	f.trail.Notice("configurationTaken").Int("version", table.Version()).Int("offset", record.Offset).
		Int("routes", int64(table.Routes())).Int("teams", int64(table.Teams())).End()
}

// Lost implements keyedlog.Listener.
func (f *configurationFeed) Lost(err error) {
	f.trail.Failure("storeLost").Text("topic", "configuration").Err(err).End()
}

// Back implements keyedlog.Listener.
func (f *configurationFeed) Back(away time.Duration) {
	f.trail.Failure("storeBack").Text("topic", "configuration").Millis("away", away).End()
}

// endpointFeed tells the decisions of the endpoints' entries.
type endpointFeed struct {
	decoder Decoder
	trail   *trail.Trail
	decided *decisions
	listed  atomic.Bool
	// unreadable are the ids whose entry could not be read, each told once.
	unreadable map[string]bool
}

var _ keyedlog.Listener = (*endpointFeed)(nil)

// Listed implements keyedlog.Listener.
func (f *endpointFeed) Listed(records []keyedlog.Record) {
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
	f.listed.Store(true)
}

// Appended implements keyedlog.Listener.
func (f *endpointFeed) Appended(records []keyedlog.Record) {
	for _, record := range records {
		if record.Dropped {
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

// Lost implements keyedlog.Listener.
func (f *endpointFeed) Lost(err error) {
	f.trail.Failure("storeLost").Text("topic", "endpoints").Err(err).End()
	f.decided.post(entriesLost{})
}

// Back implements keyedlog.Listener.
func (f *endpointFeed) Back(away time.Duration) {
	f.trail.Failure("storeBack").Text("topic", "endpoints").Millis("away", away).End()
	f.decided.post(entriesBack{})
}
