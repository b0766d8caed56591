package hostlist

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cactuswell/io/hostlist"
)

const testLag = 5 * time.Second

func listNames(t *testing.T, l *List) []string {
	t.Helper()
	recorder := httptest.NewRecorder()
	l.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/hosts", nil))
	var response hostlist.ListResponse
	if err := json.Unmarshal(recorder.Body.Bytes(), &response); err != nil {
		t.Fatal(err)
	}
	list := make([]string, 0, len(response.Entries))
	for _, entry := range response.Entries {
		list = append(list, entry.Name)
	}
	return list
}

func checkNames(t *testing.T, l *List, want ...string) {
	t.Helper()
	if difference := cmp.Diff(want, listNames(t, l)); difference != "" {
		t.Errorf("names (-want +got): %s", difference)
	}
}

func TestReadersSeeChangesAfterLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New()
		l.Put(hostlist.Entry{Name: "b"})
		time.Sleep(2 * testLag)
		l.SetFaults(Faults{LagMs: testLag.Milliseconds()})
		l.Put(hostlist.Entry{Name: "a"})
		checkNames(t, l, "b")
		time.Sleep(time.Second)
		l.Remove("b")
		time.Sleep(testLag - time.Second - time.Nanosecond)
		checkNames(t, l, "b")
		time.Sleep(time.Nanosecond)
		checkNames(t, l, "a", "b")
		time.Sleep(time.Second)
		checkNames(t, l, "a")
	})
}

func TestReadersSeeChangesImmediatelyWithoutLag(t *testing.T) {
	l := New()
	l.Put(hostlist.Entry{Name: "b"})
	l.Put(hostlist.Entry{Name: "a"})
	checkNames(t, l, "a", "b")
	l.Remove("b")
	checkNames(t, l, "a")
}

func TestListReturnsUnavailableWhenDown(t *testing.T) {
	l := New()
	l.SetFaults(Faults{Down: true})
	recorder := httptest.NewRecorder()
	l.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/hosts", nil))
	if recorder.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", recorder.Code)
	}
}
