package membership

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is into how many buckets a view is cut for an exchange.
const bucketCount = 32

// Buckets are the digests of a view, one for each bucket of names.
type Buckets struct {
	Members   [bucketCount]uint64
	Endpoints [bucketCount]uint64
}

// WholeBuckets names the buckets in which two views differ and which the answer
// to an exchange holds whole.
type WholeBuckets struct {
	Members   []uint32
	Endpoints []uint32
}

// entry is what a view holds of one name.
type entry struct {
	member  Member
	version uint32
	status  Status
	// ranks are the name's places on the rings of the monitor graph.
	ranks  []uint64
	bucket uint32

	suspectUntil time.Time
	// watched is set while this host, having raised a suspicion, goes on
	// probing the member.
	watched bool
	watchAt time.Time
	// silentRounds counts the probes that nobody answered.
	silentRounds int
	contested    bool
	goneAt       time.Time
}

func (e *entry) live() bool {
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

// fingerprint stands for the life of a host in digests.
func (e *entry) fingerprint() uint64 {
	return lifeHash(e.member.Name, e.member.Incarnation)
}

// table holds every name that a view knows, in order of name.
type table struct {
	rings     int
	byName    map[string]*entry
	order     []*entry
	liveCount int
	goneCount int
	buckets   [bucketCount]uint64
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

// add makes an entry without status.
func (t *table) add(name string) *entry {
	e := &entry{
		member: Member{
			Name: name,
		},
		bucket: bucketOf(name),
	}
	for ring := range t.rings {
		e.ranks = append(e.ranks, lifeHash(name, uint64(ring)))
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

// setStatus changes an entry's status and keeps the counts and digests. The
// entry's incarnation must change only while it is not live.
func (t *table) setStatus(e *entry, status Status) {
	t.count(e, -1)
	if e.live() {
		t.buckets[e.bucket] ^= e.fingerprint()
	}
	e.status = status
	t.count(e, 1)
	if e.live() {
		t.buckets[e.bucket] ^= e.fingerprint()
	}
}

func (t *table) count(e *entry, by int) {
	switch {
	case e.live():
		t.liveCount += by
	case e.status == Dead || e.status == Left:
		t.goneCount += by
	}
}

// oldestGone returns the entry that has been dead or left for longest.
func (t *table) oldestGone() *entry {
	var oldest *entry
	for _, e := range t.order {
		if e.live() || e.status == 0 {
			continue
		}
		if oldest == nil || e.goneAt.Before(oldest.goneAt) {
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

func lifeHash(name string, number uint64) uint64 {
	data := make([]byte, 0, len(name)+8)
	data = append(data, name...)
	data = binary.BigEndian.AppendUint64(data, number)
	return xxhash.Sum64(data)
}
