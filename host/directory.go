package host

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"cactuswell/core/dispatch"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
	"cactuswell/core/routing"
	"cactuswell/io/hostlist"
	"cactuswell/metrics"
	"cactuswell/set"
	"cactuswell/timer"
)

const (
	// listTimeout bounds one read of the host list.
	listTimeout = 3 * time.Second
	// maxLeavingKeys bounds the number of incarnations recorded as leaving.
	maxLeavingKeys = 65536
	// removeAfterSilence is how long an endpoint that is no longer listed must
	// not have reported before it is removed.
	removeAfterSilence = 5 * time.Second
	// maxLossDivisor bounds the share of the known endpoints that may be missing
	// from a host list to 1/maxLossDivisor. The directory ignores the omissions
	// of a list that lacks more.
	maxLossDivisor = 2
)

// directoryDependencies are the dependencies of a directory.
type directoryDependencies struct {
	host     string
	lister   hostlist.Lister
	interval time.Duration
	// reportInterval is the preferred time between two reads of an endpoint's
	// load report, and maxReads bounds the reads per second.
	reportInterval time.Duration
	maxReads       int
	timers         *timer.Service
	logger         log.Logger
	counters       *metrics.Counters
	// post passes an event to the pool with the given name.
	post func(pool string, event dispatch.Event)
	// onAdded is called for each new endpoint. removed is closed when the endpoint
	// is removed.
	onAdded func(descriptor endpoint.Descriptor, removed <-chan struct{})
	// onLeaving is called once for each incarnation that is found to be leaving.
	onLeaving func(key endpoint.Key)
}

// directory holds the endpoints and which of them are leaving. Its run method is
// the duty that reads the platform's host list. While the list is unavailable, the
// directory keeps its state.
type directory struct {
	directoryDependencies
	mu           sync.Mutex
	entries      map[string]*directoryEntry
	leavingKeys  map[endpoint.Key]struct{}
	leavingOrder []endpoint.Key
	listedAt     time.Time
	plan         atomic.Pointer[watchPlan]
}

// directoryEntry is an endpoint in the directory.
type directoryEntry struct {
	descriptor endpoint.Descriptor
	leaving    bool
	drained    bool
	lastSeenAt time.Time
	report     endpoint.Report
	removed    chan struct{}
}

func newDirectory(dependencies directoryDependencies) *directory {
	d := &directory{
		directoryDependencies: dependencies,
		entries:               make(map[string]*directoryEntry),
		leavingKeys:           make(map[endpoint.Key]struct{}),
	}
	d.updateWatchPlan()
	return d
}

// updateWatchPlan recomputes which endpoints are polled, and how often.
func (d *directory) updateWatchPlan() {
	pools := make(map[string][]string)
	for _, entry := range d.list() {
		pool := entry.descriptor.Pool
		pools[pool] = append(pools[pool], entry.descriptor.Key.Name)
	}
	subset := routing.DefaultSettings(d.host, "").SubsetSize
	d.plan.Store(newWatchPlan(d.host, pools, subset, d.reportInterval, d.maxReads))
}

// run reads the host list at each interval until ctx ends.
func (d *directory) run(ctx context.Context) error {
	tick := d.timers.Every(d.interval)
	defer tick.Stop()
	for {
		d.readList(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C():
		}
	}
}

func (d *directory) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := d.lister.Fetch(ctx)
	if err != nil {
		d.counters.Add("hostListFailures", 1)
		return
	}
	d.applyList(list)
}

// applyList updates the directory from a host list. An endpoint that is no longer
// listed is marked as leaving, and removed once it has not reported for
// removeAfterSilence.
func (d *directory) applyList(list hostlist.ListResponse) {
	d.mu.Lock()
	d.listedAt = d.timers.Now()
	d.mu.Unlock()
	listed := set.New[string]()
	descriptors := make([]endpoint.Descriptor, 0, len(list.Entries))
	for _, entry := range list.Entries {
		listed.Add(entry.Name)
		descriptors = append(descriptors, descriptorOf(entry))
	}
	// An endpoint whose entry has become unusable stays as it was listed last.
	for _, name := range list.Unusable {
		listed.Add(name)
	}
	d.counters.Add("hostListEntriesUnusable", int64(len(list.Unusable)))
	d.add(descriptors...)
	for _, entry := range list.Entries {
		if entry.State == hostlist.StateLeaving {
			d.markLeaving(descriptorOf(entry).Key)
		}
	}
	d.removeUnlisted(listed)
}

func (d *directory) removeUnlisted(listed set.Set[string]) {
	known := d.list()
	var missing []directoryEntry
	for _, entry := range known {
		if !listed.Has(entry.descriptor.Key.Name) {
			missing = append(missing, entry)
		}
	}
	if len(missing) > 1 && len(missing)*maxLossDivisor > len(known) {
		d.counters.Add("hostListsNotBelieved", 1)
		_ = d.logger.Log("level", "error", "event", "hostListNotBelieved", "known", len(known),
			"missing", len(missing))
		return
	}
	for _, entry := range missing {
		d.markLeaving(entry.descriptor.Key)
		if d.timers.Now().Sub(entry.lastSeenAt) > removeAfterSilence {
			d.remove(entry.descriptor.Key.Name)
		}
	}
}

func descriptorOf(entry hostlist.Entry) endpoint.Descriptor {
	kind := profile.KindModel
	if entry.Kind == hostlist.KindService {
		kind = profile.KindService
	}
	return endpoint.Descriptor{
		Key: endpoint.Key{
			Name:        entry.Name,
			Incarnation: entry.Incarnation,
		},
		Address:       entry.Address,
		Zone:          entry.Zone,
		Kind:          kind,
		Pool:          entry.Pool,
		ChecksFencing: entry.ChecksFencing,
	}
}

// addedEntry is the entry of a new endpoint or of a new incarnation, with the entry
// of the older incarnation, if any.
type addedEntry struct {
	entry    *directoryEntry
	replaced *directoryEntry
}

// add adds the endpoints, and incarnations, that are new.
func (d *directory) add(descriptors ...endpoint.Descriptor) {
	var added []addedEntry
	for _, descriptor := range descriptors {
		if a, ok := d.addEntry(descriptor); ok {
			added = append(added, a)
		}
	}
	if len(added) == 0 {
		return
	}
	d.updateWatchPlan()
	for _, a := range added {
		if a.replaced != nil {
			d.notifyRemoved(a.replaced)
		}
		sendEntry(a.entry, func(event dispatch.Event) { d.post(a.entry.descriptor.Pool, event) })
		d.onAdded(a.entry.descriptor, a.entry.removed)
	}
}

// addEntry stores an endpoint. A newer incarnation replaces an older one. An older
// one is ignored, since the host list may be stale.
func (d *directory) addEntry(descriptor endpoint.Descriptor) (addedEntry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.entries[descriptor.Key.Name]
	if known != nil && known.descriptor.Key.Incarnation >= descriptor.Key.Incarnation {
		return addedEntry{}, false
	}
	entry := &directoryEntry{
		descriptor: descriptor,
		lastSeenAt: d.timers.Now(),
		removed:    make(chan struct{}),
	}
	_, entry.leaving = d.leavingKeys[descriptor.Key]
	d.entries[descriptor.Key.Name] = entry
	return addedEntry{
		entry:    entry,
		replaced: known,
	}, true
}

// notifyRemoved stops the polling of a removed endpoint and notifies its pool.
func (d *directory) notifyRemoved(entry *directoryEntry) {
	close(entry.removed)
	d.post(entry.descriptor.Pool, dispatch.EndpointRemoved{
		Key: entry.descriptor.Key,
	})
}

// sendEntry sends the state of an endpoint to a pool.
func sendEntry(entry *directoryEntry, send func(dispatch.Event)) {
	send(dispatch.EndpointAdded{
		Descriptor: entry.descriptor,
	})
	if entry.drained {
		send(dispatch.EndpointDrainChanged{
			Key:     entry.descriptor.Key,
			Drained: true,
		})
	}
	if entry.leaving {
		send(dispatch.EndpointLeaving{
			Key: entry.descriptor.Key,
		})
	}
}

func (d *directory) remove(name string) {
	d.mu.Lock()
	entry, ok := d.entries[name]
	delete(d.entries, name)
	d.mu.Unlock()
	if !ok {
		return
	}
	d.updateWatchPlan()
	d.notifyRemoved(entry)
}

// markLeaving records that an incarnation accepts no new work. The mark is never
// reverted, but the oldest is evicted when there are more than maxLeavingKeys.
func (d *directory) markLeaving(key endpoint.Key) {
	d.mu.Lock()
	if _, known := d.leavingKeys[key]; known {
		d.mu.Unlock()
		return
	}
	d.leavingKeys[key] = struct{}{}
	d.leavingOrder = append(d.leavingOrder, key)
	if len(d.leavingOrder) > maxLeavingKeys {
		delete(d.leavingKeys, d.leavingOrder[0])
		d.leavingOrder = d.leavingOrder[1:]
	}
	entry, ok := d.entries[key.Name]
	isCurrent := ok && entry.descriptor.Key == key
	if isCurrent {
		entry.leaving = true
	}
	d.mu.Unlock()
	if isCurrent {
		d.post(entry.descriptor.Pool, dispatch.EndpointLeaving{
			Key: key,
		})
	}
	d.counters.Add("endpointsLeaving", 1)
	_ = d.logger.Log("level", "info", "event", "endpointLeaving", "endpoint", key.Name,
		"incarnation", key.Incarnation)
	d.onLeaving(key)
}

// applyDrains notifies the pools of endpoints that operators have drained or
// resumed since the last call.
func (d *directory) applyDrains(isDrained func(endpoint.Key) bool) {
	for _, entry := range d.list() {
		drained := isDrained(entry.descriptor.Key)
		if !d.setDrained(entry.descriptor.Key, drained) {
			continue
		}
		d.post(entry.descriptor.Pool, dispatch.EndpointDrainChanged{
			Key:     entry.descriptor.Key,
			Drained: drained,
		})
	}
}

// setDrained stores whether an endpoint is drained, and reports whether that
// changed.
func (d *directory) setDrained(key endpoint.Key, drained bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry, ok := d.entries[key.Name]
	if !ok || entry.descriptor.Key != key || entry.drained == drained {
		return false
	}
	entry.drained = drained
	return true
}

// handleReport handles an endpoint's load report. A report of a newer incarnation
// replaces the endpoint.
func (d *directory) handleReport(descriptor endpoint.Descriptor, report endpoint.Report) {
	if report.Key.Incarnation > descriptor.Key.Incarnation {
		replaced := descriptor
		replaced.Key.Incarnation = report.Key.Incarnation
		d.add(replaced)
		return
	}
	d.mu.Lock()
	if entry, ok := d.entries[descriptor.Key.Name]; ok {
		entry.report = report
		entry.lastSeenAt = d.timers.Now()
	}
	d.mu.Unlock()
	if report.Leaving {
		d.markLeaving(descriptor.Key)
	}
	d.post(descriptor.Pool, dispatch.LoadReported{
		Report: report,
	})
}

// resendEndpoints sends a pool that lost its state its endpoints.
func (d *directory) resendEndpoints(pool string, send func(dispatch.Event)) {
	for _, entry := range d.list() {
		if entry.descriptor.Pool == pool {
			sendEntry(&entry, send)
		}
	}
}

// list returns the endpoints, sorted by name.
func (d *directory) list() []directoryEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries := make([]directoryEntry, 0, len(d.entries))
	for _, entry := range d.entries {
		entries = append(entries, *entry)
	}
	sort.Slice(entries, func(i, j int) bool {
		return entries[i].descriptor.Key.Name < entries[j].descriptor.Key.Name
	})
	return entries
}
