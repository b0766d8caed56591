package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"cactuswell/core/lease"
	"cactuswell/core/usage"
	"cactuswell/io/control"
	"cactuswell/io/httpjson"
)

const (
	// usagePath is the path on which the holder receives the counts of the other hosts.
	usagePath = "/v1/usage"
	// maxUsageBytes bounds a message with counts, and its response.
	maxUsageBytes = 1 << 20
	// usageKeepAlive is the time after which a host sends a message although nothing has changed,
	// so that its clock stays right and the holder knows it.
	usageKeepAlive = 2 * time.Second
	// maxMissedMessages is the number of such messages of all other hosts after which a holder takes
	// it that they do not hear of it.
	maxMissedMessages = 3
	// idlePeriods is the number of usual periods in that time at least, so that idle hosts of a large
	// fleet make a quarter of the holder's load.
	idlePeriods = 4
	// maxSyncTime is the longest round trip after which the holder's time is taken over.
	maxSyncTime = 400 * time.Millisecond
	// maxClockDrift is the change of the difference of a host's two clocks after which one of them
	// has jumped or stood still.
	maxClockDrift = 250 * time.Millisecond
	// medianInterval is the time between two derivations of the true time, which sorts the clocks of
	// all hosts.
	medianInterval = time.Second
	// clockMemory is the age up to which the clock of a host counts for the true time.
	clockMemory = time.Minute
	// maxClocks bounds the hosts whose clocks a holder keeps: as many as their counts.
	maxClocks = 8192
	// maxClockError bounds the error of this host's clock while the true time is not known. Clocks
	// are off by seconds.
	maxClockError = time.Minute
	// unsentInterval is the time between two records of the counts that a successor may not get from
	// the hosts, and maxEnded the number of ended hosts in one.
	unsentInterval = time.Second
	maxEnded       = 64
	// finalPushTimeout bounds the last message of a host that ends.
	finalPushTimeout = 150 * time.Millisecond
)

// usageMessage is what a host sends to the holder.
type usageMessage struct {
	usage.Report
	// WallMs is the time of the sender's clock, in Unix milliseconds.
	WallMs float64 `json:"wallMs"`
	// FixedThrough is the last window that the sender knows to be fixed.
	FixedThrough int64 `json:"fixedThrough,omitempty"`
}

// usageResponse is the holder's response.
type usageResponse struct {
	Token int64 `json:"token"`
	// TrueMs is the true time, in Unix milliseconds, or zero if the holder does not know it yet.
	TrueMs float64 `json:"trueMs,omitempty"`
	// FixedThrough is the last window that is fixed. Counts up to it are no longer needed.
	FixedThrough int64 `json:"fixedThrough,omitempty"`
}

// holderState is what a host keeps while it holds the lease.
type holderState struct {
	tally *usage.Tally
	book  *usage.Book
	// settledAt is when the hosts have sent their counts to this holder.
	settledAt time.Duration
	// isFirst is set if no window was ever reported.
	isFirst bool
	// isRestored is set if the store has come back from an older copy since the last lease record was
	// written, and this host has not held the lease. beganAt is when the term began.
	isRestored bool
	beganAt    time.Duration
	// clocks holds what the hosts' clocks show at the zero of this host's monotonic clock.
	clocks map[string]hostClock
	// heardAt is when another host last sent counts.
	heardAt time.Duration
	// medianAt is when the true time was last derived from them, and drift the difference of
	// this host's clocks then.
	medianAt time.Duration
	drift    time.Duration
	// merged is the version of this host's counts that are in the tally.
	merged uint64
	// unsent is what the store holds of the counts that nobody may be able to send to a successor,
	// and expired are the windows whose records are to be dropped.
	unsent  []byte
	expired []int64
}

type hostClock struct {
	atZero  time.Duration
	heardAt time.Duration
}

// beginTerm prepares for the duties of a holder.
func (d *singletonDuties) beginTerm() {
	hosts := d.view().Others + 1
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.instant()
	trueTime, isSynced := d.estimateTime(now)
	h := &holderState{
		tally:     usage.NewTally(),
		settledAt: now.Mono + d.settings.CloseDelay(hosts),
		isFirst:   d.listed.note == 0 && len(d.listed.usage) == 0 && d.lastBook == nil && d.knownFixed == 0,
		clocks:    make(map[string]hostClock),
		heardAt:   now.Mono,
		drift:     now.Wall - now.Mono,

		isRestored: d.listed.leaseEra < d.listed.era && d.lastBook == nil,
		beganAt:    now.Mono,
	}
	earliest := trueTime - d.settings.Delay
	if h.isFirst {
		// takeDue finds the first window once the true time is known.
		earliest = trueTime - now.Mono
	}
	if !isSynced {
		earliest -= maxClockError
	}
	first := max(d.listed.note+1, d.settings.WindowAt(earliest))
	h.book = usage.NewBook(d.settings, first)
	restore := d.listed.usage
	if d.lastBook != nil {
		// The store may have lost records of this host that were reported already.
		for window, counts := range d.lastBook.Stored() {
			if restore[window] == nil && window >= first {
				restore[window] = counts
			}
		}
	}
	for window, counts := range restore {
		h.book.Restore(window, counts)
		if d.lastBook != nil && d.lastBook.IsFinished(window) {
			h.book.Finish(window)
		}
	}
	for _, report := range d.listed.ended {
		h.tally.Merge(report, first, d.newestWindow(now))
	}
	d.holder = h
	d.isKnown = false
}

// endTerm ends the duties of a holder.
func (d *singletonDuties) endTerm() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.holder != nil {
		d.lastBook = d.holder.book
	}
	d.holder = nil
	d.acknowledgedBy = 0
}

// estimateTime returns the true time. While it is not known, it returns the wall clock's and reports
// false. The caller must hold d.mu.
func (d *singletonDuties) estimateTime(now lease.Instant) (time.Duration, bool) {
	if trueTime, ok := d.counter.TrueTime(now.Mono); ok {
		return trueTime, true
	}
	return now.Wall, false
}

// syncClock derives the true time from the clocks of the hosts, and returns it. The caller must hold
// d.mu.
func (d *singletonDuties) syncClock(others int) time.Duration {
	now := d.instant()
	h := d.holder
	drift := now.Wall - now.Mono
	if (drift - h.drift).Abs() > maxClockDrift {
		// The monotonic clock may have stood still: what was derived from it is wrong then.
		clear(h.clocks)
	}
	h.drift = drift
	trueTime, isSynced := d.estimateTime(now)
	if isSynced && now.Mono-h.medianAt < medianInterval {
		return trueTime
	}
	h.medianAt = now.Mono
	offsets := []time.Duration{drift}
	for host, clock := range h.clocks {
		if now.Mono-clock.heardAt > clockMemory {
			delete(h.clocks, host)
			continue
		}
		offsets = append(offsets, clock.atZero)
	}
	switch {
	case others > 0 && 2*len(offsets) > others+1:
		trueTime = now.Mono + usage.MedianOffset(offsets)
	case isSynced || now.Mono < h.settledAt:
		// Until most hosts have sent their time, this host's clock would outweigh theirs, and what
		// an earlier holder has found.
		return trueTime
	}
	d.counter.Sync(now.Mono, trueTime)
	return trueTime
}

// mergeOwn adds this host's counts to the tally. The caller must hold d.mu.
func (d *singletonDuties) mergeOwn() {
	changes, version := d.counter.Changes(d.holder.merged)
	d.holder.merged = version
	d.holder.tally.Merge(usage.Report{
		Source: d.source(),
		Counts: changes,
	}, d.holder.book.FixedThrough()+1, d.newestWindow(d.instant()))
}

// newestWindow returns the newest window that may have begun anywhere. The caller must hold d.mu.
func (d *singletonDuties) newestWindow(now lease.Instant) int64 {
	trueTime, isSynced := d.estimateTime(now)
	if !isSynced {
		trueTime += maxClockError
	}
	return d.settings.WindowAt(trueTime) + 1
}

func (d *singletonDuties) source() usage.Source {
	return usage.Source{
		Host:        d.gateway.Settings.Name,
		Incarnation: d.gateway.incarnation,
	}
}

// fixUsage writes the counts of the windows that are over to the store.
func (d *singletonDuties) fixUsage(ctx context.Context) {
	others := d.view().Others
	d.mu.Lock()
	if d.holder == nil {
		d.mu.Unlock()
		return
	}
	due := d.closeWindows(others)
	isUnheard := others > 0 && d.instant().Mono-d.holder.heardAt > maxMissedMessages*d.keepAlive(others)
	d.mu.Unlock()
	if isUnheard {
		d.writeUnsent(ctx, true)
		d.handle(ctx, lease.GiveUp{Cause: lease.CauseUnheard})
		return
	}
	for _, window := range append(due.missed, due.late...) {
		d.gateway.meter.addToCounter(`cactuswell_usage_windows_total{result="missed"}`, 1)
		d.gateway.trail.Failure("usageMissed").Int("window", window).Bool("isFixed", slices.Contains(due.late, window)).Merge("")
	}
	if time.Now().After(d.nextUnsent) {
		d.nextUnsent = time.Now().Add(unsentInterval)
		d.writeUnsent(ctx, false)
	}
	if len(due.extras) > 0 {
		d.handle(ctx, lease.Write{Extras: due.extras})
	}
}

// dueWindows holds the records of windows that are to be fixed, the windows that are left out, and
// those that were fixed and whose reports are overdue.
type dueWindows struct {
	extras []lease.Extra
	missed []int64
	late   []int64
}

// closeWindows fixes the windows that are due, and drops those that are no longer needed. The caller
// must hold d.mu.
func (d *singletonDuties) closeWindows(others int) dueWindows {
	now := d.syncClock(others)
	d.mergeOwn()
	if _, isSynced := d.estimateTime(d.instant()); !isSynced {
		// By this host's clock alone, windows would be dropped whose reports are still due.
		return dueWindows{}
	}
	extras, missed := d.takeDue(now, others)
	late := d.holder.book.Late(now)
	d.finishWindows(now)
	return dueWindows{
		extras: extras,
		missed: missed,
		late:   late,
	}
}

// mergeCounts adds the counts of another host to the tally. The caller must hold d.mu.
func (d *singletonDuties) mergeCounts(report usage.Report) {
	d.holder.tally.Merge(report, d.holder.book.FixedThrough()+1, d.newestWindow(d.instant()))
}

// takeDue fixes the windows that are due, and returns the records to be written and the windows that
// are left out. The caller must hold d.mu.
func (d *singletonDuties) takeDue(now time.Duration, others int) (extras []lease.Extra, missed []int64) {
	h := d.holder
	if d.instant().Mono < h.settledAt {
		return nil, nil
	}
	if h.isFirst {
		first := d.settings.WindowAt(now - d.instant().Mono)
		if counted, ok := h.tally.First(); ok {
			first = min(first, counted)
		}
		h.book = usage.NewBook(d.settings, first)
		h.isFirst = false
	}
	if h.isRestored && d.knownFixed == 0 {
		// No host knows what an earlier holder has fixed. It cannot have fixed a window that ended
		// after this term began.
		d.knownFixed = d.settings.WindowAt(now-(d.instant().Mono-h.beganAt)) - 1
	}
	h.isRestored = false
	for {
		window, ok := h.book.Due(now, d.settings.CloseDelay(others+1))
		if !ok {
			return extras, missed
		}
		// A window that another holder has fixed, and whose record the store has lost, may have been
		// reported with other counts.
		if h.book.IsLate(window, now) || window <= d.knownFixed {
			h.book.Skip()
			missed = append(missed, window)
			continue
		}
		counts := h.tally.Total(window)
		value, err := json.Marshal(counts)
		if err != nil {
			return extras, missed
		}
		h.book.Fix(counts)
		extras = append(extras, lease.Extra{
			Key:   usageKeyPrefix + strconv.FormatInt(window, 10),
			Value: value,
		})
		for _, expired := range h.expired {
			extras = append(extras, lease.Extra{Key: usageKeyPrefix + strconv.FormatInt(expired, 10)})
		}
		h.expired = nil
	}
}

// finishWindows drops what is no longer needed of old windows. The caller must hold d.mu.
func (d *singletonDuties) finishWindows(now time.Duration) {
	h := d.holder
	h.expired = append(h.expired, h.book.Expire(d.settings.Oldest(now))...)
	through := h.book.FixedThrough()
	h.tally.Forget(through)
	d.counter.Forget(through)
	d.machine.SetNote(h.book.Through())
}

// recordWritten records that windows are fixed.
func (d *singletonDuties) recordWritten(extras []lease.Extra) {
	for _, extra := range extras {
		key, ok := strings.CutPrefix(extra.Key, usageKeyPrefix)
		if !ok || extra.Value == nil {
			continue
		}
		window, err := strconv.ParseInt(key, 10, 64)
		if err != nil {
			continue
		}
		d.mu.Lock()
		var total int64
		if d.holder != nil {
			d.holder.book.Store(window)
			for _, count := range d.holder.book.Stored()[window] {
				total += count
			}
		}
		d.knownFixed = max(d.knownFixed, window)
		d.mu.Unlock()
		d.gateway.meter.addToCounter(`cactuswell_usage_windows_total{result="fixed"}`, 1)
		d.gateway.trail.Notice("usageFixed").Int("window", window).Int("requests", total).End()
	}
}

// writeUnsent writes the counts that nobody may be able to send to a successor to the store with the next
// renewal: those of hosts that have ended, and those of this host, which may be killed. If it is about to
// release the lease, the requests since the last step are included.
func (d *singletonDuties) writeUnsent(ctx context.Context, isReleasing bool) {
	if d.gateway.mesh == nil {
		return
	}
	live := d.gateway.mesh.Incarnations()
	d.mu.Lock()
	if d.holder == nil {
		d.mu.Unlock()
		return
	}
	if isReleasing {
		instant := d.instant()
		now, isSynced := d.estimateTime(instant)
		if !isSynced {
			d.counter.Sync(instant.Mono, now)
		}
		d.mergeOwn()
	}
	own := d.source()
	unsent := d.holder.tally.Ended(func(s usage.Source) bool { return s == own || live[s.Host] == s.Incarnation }, maxEnded)
	if report, ok := d.holder.tally.Report(own); ok {
		unsent = append(unsent, report)
	}
	value, err := json.Marshal(unsent)
	isChanged := err == nil && !bytes.Equal(value, d.holder.unsent) && (len(unsent) > 0 || d.holder.unsent != nil)
	if isChanged {
		d.holder.unsent = value
	}
	d.mu.Unlock()
	if isChanged {
		d.handle(ctx, lease.Write{
			Extras: []lease.Extra{{
				Key:   endedKey,
				Value: value,
			}},
			CanWait: true,
		})
	}
}

// reportUsage reports a window that is fixed.
func (d *singletonDuties) reportUsage(ctx context.Context) {
	d.mu.Lock()
	if d.holder == nil {
		d.mu.Unlock()
		return
	}
	trueTime, _ := d.estimateTime(d.instant())
	window, counts, ok := d.holder.book.NextReport(trueTime)
	d.mu.Unlock()
	fence, mayCall := d.fence()
	if !ok || !mayCall {
		return
	}
	startedAt := time.Now()
	err := d.gateway.Control.ReportUsage(ctx, fence, window, counts)
	var conflict *control.ConflictError
	isFinished := err == nil || errors.As(err, &conflict)
	d.mu.Lock()
	if d.holder != nil && isFinished {
		d.holder.book.Finish(window)
	} else if d.holder != nil {
		d.holder.book.Retry(window, trueTime+time.Since(startedAt))
	}
	d.mu.Unlock()
	if err != nil {
		d.gateway.trail.Failure("usageNotReported").Int("window", window).Int("token", fence.Token).Err(err).Merge("")
		d.handleControlError(ctx, err, true)
		return
	}
	var total int64
	for _, count := range counts {
		total += count
	}
	d.gateway.meter.addToCounter(`cactuswell_usage_windows_total{result="reported"}`, 1)
	d.gateway.trail.Notice("usageReported").Int("window", window).Int("token", fence.Token).Int("requests", total).Int("teams", int64(len(counts))).
		Millis("afterEnd", trueTime-d.settings.End(window)).End()
}

// serveUsage takes over the counts of another host. It responds with status 409 if this host does not
// hold the lease.
func (d *singletonDuties) serveUsage(w http.ResponseWriter, r *http.Request) {
	var message usageMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxUsageBytes)).Decode(&message); err != nil {
		http.Error(w, "malformed counts", http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	if d.holder == nil || !d.machine.Holds() {
		d.mu.Unlock()
		http.Error(w, "not the holder", http.StatusConflict)
		return
	}
	h := d.holder
	now := d.instant()
	h.heardAt = now.Mono
	if _, ok := h.clocks[message.Host]; ok || len(h.clocks) < maxClocks {
		h.clocks[message.Host] = hostClock{
			atZero:  time.Duration(message.WallMs*float64(time.Millisecond)) - now.Mono,
			heardAt: now.Mono,
		}
	}
	trueTime, isSynced := d.estimateTime(now)
	fixed := h.book.FixedThrough()
	d.mergeCounts(message.Report)
	d.knownFixed = max(d.knownFixed, min(message.FixedThrough, d.newestWindow(now)-1))
	response := usageResponse{
		Token:        d.machine.Token(),
		FixedThrough: fixed,
	}
	if isSynced {
		response.TrueMs = float64(trueTime) / float64(time.Millisecond)
	}
	d.mu.Unlock()
	// An error means that the other host has disconnected.
	_ = json.NewEncoder(w).Encode(response)
}

// runPush sends this host's counts to the holder until ctx is done, and then once more.
func (d *singletonDuties) runPush(ctx context.Context) error {
	client := newPeerClient()
	defer client.CloseIdleConnections()
	var lastPush time.Time
	for ctx.Err() == nil {
		d.gateway.waitFor(ctx, d.settings.PushPeriod(d.view().Others+1))
		if ctx.Err() != nil {
			break
		}
		if d.push(ctx, client, time.Since(lastPush) > d.keepAlive(d.view().Others)) {
			lastPush = time.Now()
		}
	}
	final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalPushTimeout)
	defer cancel()
	d.push(final, client, false)
	return nil
}

// keepAlive returns the time after which a message is sent although nothing has changed.
func (d *singletonDuties) keepAlive(others int) time.Duration {
	return max(usageKeepAlive, idlePeriods*d.settings.PushPeriod(others+1))
}

// push sends the counts that have changed to the holder, if there are any or if it must. It reports
// whether the holder has them.
func (d *singletonDuties) push(ctx context.Context, client *http.Client, must bool) bool {
	d.mu.Lock()
	target := d.known
	if !d.isKnown || target.Released || d.holder != nil {
		d.mu.Unlock()
		return false
	}
	sent := d.instant()
	_, isSynced := d.counter.TrueTime(sent.Mono)
	drift := sent.Wall - sent.Mono
	// After a jump of one of the clocks the true time is in doubt.
	must = must || !isSynced || (drift-d.pushDrift).Abs() > maxClockDrift
	d.pushDrift = drift
	if d.acknowledgedBy != target.Token {
		must = true
		d.acknowledged = 0
	}
	changes, version := d.counter.Changes(d.acknowledged)
	fixed := d.knownFixed
	d.mu.Unlock()
	if !must && len(changes) == 0 {
		return false
	}
	response, err := d.sendUsage(ctx, client, target.Address, usageMessage{
		Report: usage.Report{
			Source: d.source(),
			Counts: changes,
		},
		WallMs:       float64(sent.Wall) / float64(time.Millisecond),
		FixedThrough: fixed,
	})
	d.gateway.meter.addToCounter("cactuswell_usage_pushes_total", 1)
	if err != nil {
		d.gateway.meter.addToCounter("cactuswell_usage_push_failures_total", 1)
		d.gateway.trail.Failure("usagePushFailed").Text("holder", target.Host).Err(err).Merge(target.Host)
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.holder != nil {
		return false
	}
	now := d.instant()
	if response.TrueMs > 0 && (!isSynced || now.Mono-sent.Mono < maxSyncTime) {
		middle := (sent.Mono + now.Mono) / 2
		d.counter.Sync(middle, time.Duration(response.TrueMs*float64(time.Millisecond)))
	}
	d.acknowledged, d.acknowledgedBy = version, target.Token
	d.counter.Forget(response.FixedThrough)
	return true
}

func (d *singletonDuties) sendUsage(ctx context.Context, client *http.Client, address string, message usageMessage) (usageResponse, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return usageResponse{}, trace.Wrap(err)
	}
	var response usageResponse
	err = httpjson.Call(ctx, client, http.MethodPost, "http://"+address+usagePath, bytes.NewReader(body), maxUsageBytes, &response)
	return response, err
}
