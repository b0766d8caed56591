package weightstore

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// read reads one version and returns the answer.
func read(s *Store) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/v1/weights/drafting/v2/reads", nil)
	s.Handler().ServeHTTP(recorder, request)
	return recorder
}

func checkStatus(t *testing.T, answer *httptest.ResponseRecorder, want int) {
	t.Helper()
	if answer.Code != want {
		t.Errorf("status %d, wanted %d", answer.Code, want)
	}
}

func TestReadsKeepRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Settings{
			BytesPerSecond: 1 << 30,
			WeightBytes:    4 << 30,
		})
		checkStatus(t, read(s), http.StatusOK)
		refused := read(s)
		checkStatus(t, refused, http.StatusTooManyRequests)
		if after := refused.Header().Get("Retry-After"); after != "4" {
			t.Errorf("Retry-After %q s, wanted 4", after)
		}
		time.Sleep(4*time.Second - time.Millisecond)
		checkStatus(t, read(s), http.StatusTooManyRequests)
		time.Sleep(time.Millisecond)
		checkStatus(t, read(s), http.StatusOK)
		checkStatus(t, read(s), http.StatusTooManyRequests)
	})
}

func TestDownStoreRefusesReadsWithoutCountingThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Settings{})
		s.SetFaults(Faults{Down: true})
		checkStatus(t, read(s), http.StatusServiceUnavailable)
		s.SetFaults(Faults{})
		checkStatus(t, read(s), http.StatusOK)
	})
}
