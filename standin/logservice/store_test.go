package logservice

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"cactuswell/core/record"
	"cactuswell/io/logservice"
)

const testStream = record.Stream("test")

func appendOne(t *testing.T, s *Store, data string) (record.Offset, error) {
	t.Helper()
	return s.Append(t.Context(), testStream, [][]byte{[]byte(data)})
}

func mustAppend(t *testing.T, s *Store, data string) {
	t.Helper()
	if _, err := appendOne(t, s, data); err != nil {
		t.Fatal(err)
	}
}

func readFrom(t *testing.T, s *Store, from record.Offset) (logservice.ReadResponse, error) {
	t.Helper()
	return s.Read(t.Context(), testStream, from, logservice.ReadOptions{})
}

func TestRecordsExpireAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(time.Now, 1)
		s.SetFaults(Faults{RetentionMs: 10_000})
		mustAppend(t, s, "a")
		time.Sleep(time.Second)
		mustAppend(t, s, "b")
		time.Sleep(9 * time.Second)
		response, err := readFrom(t, s, 0)
		if err != nil || len(response.Records) != 2 {
			t.Errorf("after 10 s: %d records, error %v; want 2 records", len(response.Records), err)
		}
		time.Sleep(time.Nanosecond)
		var truncated *logservice.TruncatedError
		if _, err = readFrom(t, s, 0); !errors.As(err, &truncated) || truncated.Oldest != 1 {
			t.Errorf("after more than 10 s: error %v, want truncation at offset 1", err)
		}
		response, err = readFrom(t, s, 1)
		if err != nil || len(response.Records) != 1 || string(response.Records[0].Data) != "b" {
			t.Errorf("from offset 1: records %v, error %v; want one record with data \"b\"", response.Records, err)
		}
		time.Sleep(time.Second)
		if offset, err := appendOne(t, s, "c"); err != nil || offset != 2 {
			t.Errorf("appended at offset %d, error %v; want offset 2", offset, err)
		}
	})
}

func TestAppendsWithUncertainOutcome(t *testing.T) {
	cases := []struct {
		name    string
		faults  Faults
		records int
	}{
		{name: "append with dropped response takes effect", faults: Faults{LostAnswers: 1}, records: 1},
		{name: "failed append has no effect", faults: Faults{FailedAppends: 1}, records: 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New(time.Now, 1)
			s.SetFaults(c.faults)
			var unavailable *logservice.UnavailableError
			if _, err := appendOne(t, s, "a"); !errors.As(err, &unavailable) {
				t.Errorf("append: error %v, want an UnavailableError", err)
			}
			response, err := readFrom(t, s, 0)
			if err != nil || len(response.Records) != c.records {
				t.Errorf("%d records, error %v; want %d records", len(response.Records), err, c.records)
			}
		})
	}
}

func TestAppendRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(time.Now, 1)
		s.SetFaults(Faults{AppendsPerSecond: 2})
		mustAppend(t, s, "a")
		mustAppend(t, s, "b")
		var refused *logservice.RefusedError
		if _, err := appendOne(t, s, "c"); !errors.As(err, &refused) || refused.Status != 429 {
			t.Errorf("third append in one second: error %v, want status 429", err)
		}
		time.Sleep(time.Second)
		mustAppend(t, s, "d")
		response, err := readFrom(t, s, 0)
		if err != nil || len(response.Records) != 3 {
			t.Errorf("%d records, error %v; want 3 records", len(response.Records), err)
		}
	})
}
