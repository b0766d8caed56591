package membership

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets into which the names of a view are
// hashed for an exchange.
const bucketCount = 32

// Buckets holds one digest of a view for each bucket.
type Buckets struct {
	Members   [bucketCount]uint64
	Endpoints [bucketCount]uint64
}

// WholeBuckets lists the buckets in which two views differ and which the answer
// to an exchange contains in full.
type WholeBuckets struct {
	Members   []uint32
	Endpoints []uint32
}

// entry holds what a view knows about one name.
type entry struct {
	member  Member
	version uint32
	status  Status
	// ranks are the positions of the name on the rings of the monitor graph.
	ranks  []uint64
	bucket uint32

	suspectUntil time.Time
	// watched is set while this host probes the member after having raised a
	// suspicion against it.
	watched          bool
	nextWatchProbeAt time.Time
	// inconclusiveRounds counts the rounds that reached nobody and had too few
	// reports for a suspicion.
	inconclusiveRounds int
	contested          bool
	removedAt          time.Time
}

func (e *entry) isLive() bool {
	return e.status == Alive || e.status == Suspect
}

func (e *entry) state() MemberState {
	return MemberState{
		Member:  e.member,
		Version: e.version,
		Status:  e.status,
	}
}

func (e *entry) dump() MemberDump {
	return MemberDump{
		Name:        e.member.Name,
		Incarnation: e.member.Incarnation,
		Version:     e.version,
		Address:     e.member.Address,
		Zone:        e.member.Zone,
		Status:      e.status.String(),
	}
}

// fingerprint returns the hash of the member's name and incarnation for
// digests.
func (e *entry) fingerprint() uint64 {
	return nameHash(e.member.Name, e.member.Incarnation)
}

// table holds every name that a view knows, sorted by name.
type table struct {
	rings        int
	byName       map[string]*entry
	order        []*entry
	liveCount    int
	removedCount int
	buckets      [bucketCount]uint64
}

func newTable(rings int) *table {
	return &table{
		rings:  rings,
		byName: make(map[string]*entry),
	}
}

func (t *table) get(name string) *entry {
	return t.byName[name]
}

// add inserts an entry without a status.
func (t *table) add(name string) *entry {
	e := &entry{
		member: Member{
			Name: name,
		},
		bucket: bucketOf(name),
	}
	for ring := range t.rings {
		e.ranks = append(e.ranks, nameHash(name, uint64(ring)))
	}
	t.byName[name] = e
	at, _ := slices.BinarySearchFunc(t.order, name, compareName)
	t.order = slices.Insert(t.order, at, e)
	return e
}

func (t *table) remove(e *entry) {
	t.setStatus(e, 0)
	delete(t.byName, e.member.Name)
	at, found := slices.BinarySearchFunc(t.order, e.member.Name, compareName)
	if found {
		t.order = slices.Delete(t.order, at, at+1)
	}
}

// setStatus changes an entry's status and updates the counts and digests. An entry
// with status 0, as a new one has, is in none of them. The entry's incarnation must
// change only while it is not live.
func (t *table) setStatus(e *entry, status Status) {
	t.addToCounts(e, -1)
	if e.isLive() {
		t.buckets[e.bucket] ^= e.fingerprint()
	}
	e.status = status
	t.addToCounts(e, 1)
	if e.isLive() {
		t.buckets[e.bucket] ^= e.fingerprint()
	}
}

func (t *table) addToCounts(e *entry, delta int) {
	switch {
	case e.isLive():
		t.liveCount += delta
	case e.status == Dead || e.status == Left:
		t.removedCount += delta
	}
}

// oldestRemoved returns the entry that has been dead or left for the longest
// time.
func (t *table) oldestRemoved() *entry {
	var oldest *entry
	for _, e := range t.order {
		if e.isLive() || e.status == 0 {
			continue
		}
		if oldest == nil || e.removedAt.Before(oldest.removedAt) {
			oldest = e
		}
	}
	return oldest
}

func compareName(e *entry, name string) int {
	return strings.Compare(e.member.Name, name)
}

func bucketOf(name string) uint32 {
	return uint32(xxhash.Sum64String(name) % bucketCount)
}

func nameHash(name string, number uint64) uint64 {
	data := make([]byte, 0, len(name)+8)
	data = append(data, name...)
	data = binary.BigEndian.AppendUint64(data, number)
	return xxhash.Sum64(data)
}
