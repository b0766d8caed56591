package peer_test

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cactuswell/core/quarantine"
	"cactuswell/core/replica"
	"cactuswell/core/scheduling"
	"cactuswell/core/speed"
	"cactuswell/io/peer"
)

func drawMessage(t *rapid.T) peer.Message {
	m := peer.Message{
		Host:                 rapid.StringN(1, 20, 60).Draw(t, "host"),
		Address:              rapid.StringN(0, 20, 60).Draw(t, "address"),
		Zone:                 rapid.StringN(0, 20, 60).Draw(t, "zone"),
		Aggregate:            rapid.Bool().Draw(t, "aggregate"),
		Hosts:                rapid.IntRange(0, 1<<20).Draw(t, "hosts"),
		LinkMbps:             float64(rapid.IntRange(0, 1<<20).Draw(t, "link")),
		Incarnation:          rapid.Int64().Draw(t, "born"),
		ConfigurationVersion: rapid.Int64().Draw(t, "version"),
		StoreUnavailable:     rapid.Bool().Draw(t, "storeLost"),
		ShuttingDown:         rapid.Bool().Draw(t, "leaving"),
		Complete:             rapid.Bool().Draw(t, "full"),
	}
	for range rapid.IntRange(0, 20).Draw(t, "work") {
		m.Loads = append(m.Loads, scheduling.PeerLoad{
			Endpoint:         rapid.Uint64().Draw(t, "endpoint"),
			PendingPrefill:   time.Duration(rapid.IntRange(0, 1<<20).Draw(t, "reading")) * time.Millisecond,
			Running:          rapid.IntRange(0, 1<<20).Draw(t, "running"),
			LatencySensitive: rapid.IntRange(0, 1<<20).Draw(t, "tight"),
			Ejected:          rapid.Bool().Draw(t, "ejected"),
		})
	}
	if rapid.Bool().Draw(t, "hasDuty") {
		m.Duty = &peer.Duty{
			Host:     rapid.StringN(0, 20, 60).Draw(t, "holder"),
			Address:  rapid.StringN(0, 20, 60).Draw(t, "holderAddress"),
			Token:    rapid.Int64().Draw(t, "token"),
			Era:      rapid.Int64().Draw(t, "dutyEra"),
			Offset:   rapid.Int64().Draw(t, "dutyOffset"),
			Released: rapid.Bool().Draw(t, "released"),
			Fixed:    rapid.Int64().Draw(t, "fixed"),
			Age:      time.Duration(rapid.IntRange(0, 1<<20).Draw(t, "dutyAge")) * time.Millisecond,
		}
	}
	for range rapid.IntRange(0, 20).Draw(t, "placed") {
		m.Placements = append(m.Placements, scheduling.Placement{
			Endpoint:   rapid.Uint64().Draw(t, "endpoint"),
			PrefixHash: rapid.Uint64().Draw(t, "chain"),
			Tokens:     rapid.IntRange(0, 1<<20).Draw(t, "tokens"),
		})
	}
	for range rapid.IntRange(0, 3).Draw(t, "copies") {
		c := peer.Copy{
			Topic: rapid.StringN(0, 20, 60).Draw(t, "topic"),
			End: replica.Position{
				Era:    rapid.Int64().Draw(t, "era"),
				Offset: rapid.Int64().Draw(t, "offset"),
			},
			Reads: rapid.Bool().Draw(t, "reads"),
		}
		if c.Reads {
			c.ReadAgo = time.Duration(rapid.IntRange(0, 254).Draw(t, "readAgo")) * 16 * time.Millisecond
		}
		m.Copies = append(m.Copies, c)
	}
	for range rapid.IntRange(0, 20).Draw(t, "notices") {
		m.Notices = append(m.Notices, scheduling.Notice{
			Endpoint: rapid.Uint64().Draw(t, "endpoint"),
			Leaving:  rapid.Bool().Draw(t, "leaving"),
			QuietFor: time.Duration(rapid.IntRange(0, 1<<20).Draw(t, "quietFor")) * time.Millisecond,
		})
	}
	for range rapid.IntRange(0, 3).Draw(t, "demands") {
		m.Demands = append(m.Demands, scheduling.Demand{
			Service:          rapid.Uint64().Draw(t, "service"),
			LatencySensitive: time.Duration(rapid.IntRange(0, 1<<20).Draw(t, "sensitive")) * time.Millisecond,
			Other:            time.Duration(rapid.IntRange(0, 1<<20).Draw(t, "other")) * time.Millisecond,
		})
	}
	for range rapid.IntRange(0, 5).Draw(t, "limits") {
		declines := rapid.IntRange(-1, 1<<20).Draw(t, "declines, or not brittle")
		m.Limits = append(m.Limits, scheduling.LimitReport{
			Endpoint: rapid.Uint64().Draw(t, "endpoint"),
			Limit: scheduling.Limit{
				IsNamed:     rapid.Bool().Draw(t, "named"),
				PerSecond:   rapid.Float64Range(0, 1e6).Draw(t, "per second"),
				IsBrittle:   declines >= 0,
				MaxDeclines: max(declines, 0),
			},
			Age:  time.Duration(rapid.IntRange(0, 1<<20).Draw(t, "age")) * time.Millisecond,
			Sent: rapid.IntRange(0, 1<<20).Draw(t, "sent"),
		})
	}
	for range rapid.IntRange(0, 12).Draw(t, "speeds") {
		m.Speeds = append(m.Speeds, speed.Observation{
			Endpoint: rapid.Uint64().Draw(t, "endpoint"),
			Kind:     rapid.SampledFrom([]speed.Kind{speed.EventGap, speed.Prefill, speed.Plain}).Draw(t, "kind"),
			Count:    rapid.IntRange(0, 1<<20).Draw(t, "count"),
			LogRatio: float64(rapid.IntRange(-1<<14, 1<<14).Draw(t, "ratio")) / 4096,
		})
	}
	for range rapid.IntRange(0, 3).Draw(t, "call demands") {
		m.CallDemands = append(m.CallDemands, scheduling.CallDemand{
			Service: rapid.Uint64().Draw(t, "service"),
			Calls:   rapid.IntRange(0, 1<<20).Draw(t, "calls"),
			Hosts:   rapid.IntRange(0, 1<<20).Draw(t, "hosts"),
		})
	}
	for range rapid.IntRange(0, 5).Draw(t, "findings") {
		m.Findings = append(m.Findings, drawFinding(t))
	}
	return m
}

func drawFinding(t *rapid.T) quarantine.Finding {
	drawDuration := func(name string) time.Duration {
		return time.Duration(rapid.IntRange(0, 1<<20).Draw(t, name)) * time.Millisecond
	}
	drawParts := rapid.SliceOfN(rapid.Uint64(), 1, 4)
	switch rapid.IntRange(0, 2).Draw(t, "kind of finding") {
	case 0:
		return quarantine.Crash{
			ID:       rapid.Uint64().Draw(t, "attempt"),
			Endpoint: rapid.Uint64().Draw(t, "endpoint"),
			Request:  rapid.Uint64().Draw(t, "request"),
			Flight:   drawDuration("flight"),
			Began:    rapid.Bool().Draw(t, "began"),
			Parts:    drawParts.Draw(t, "parts"),
			Age:      drawDuration("age"),
		}
	case 1:
		return quarantine.Answer{
			Subject:   rapid.Uint64().Draw(t, "subject"),
			IsRequest: rapid.Bool().Draw(t, "is request"),
			Age:       drawDuration("age"),
		}
	}
	return quarantine.Quarantine{
		Request: rapid.Uint64().Draw(t, "request"),
		Parts:   drawParts.Draw(t, "parts"),
		Age:     drawDuration("age"),
		Left:    drawDuration("left"),
	}
}

// TestUnknownExtensionIsSkipped guards against dropping the reports of later releases.
func TestUnknownExtensionIsSkipped(t *testing.T) {
	sent := peer.Message{
		Host:     "host-1",
		Findings: []quarantine.Finding{quarantine.Answer{Subject: 7}},
	}
	plain := (&peer.Message{Host: "host-1"}).Append(nil)
	extensions := sent.Append(nil)[len(plain):]
	encoded := append(append(plain, 200, 3, 'n', 'e', 'w'), extensions...)
	got, err := peer.Decode(encoded)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sent, got); diff != "" {
		t.Error(diff)
	}
}

func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := drawMessage(t)
		got, err := peer.Decode(sent.Append(nil))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(sent, got); diff != "" {
			t.Error(diff)
		}
	})
}

// TestCutReportIsNotComplete guards against endpoints that look idle for lack of room.
func TestCutReportIsNotComplete(t *testing.T) {
	for loads, complete := range map[int]bool{256: true, 257: false} {
		sent := peer.Message{
			Host:     "host-1",
			Complete: true,
			Loads:    make([]scheduling.PeerLoad, loads),
		}
		got, err := peer.Decode(sent.Append(nil))
		if err != nil {
			t.Fatal(err)
		}
		if got.Complete != complete || len(got.Loads) != 256 {
			t.Errorf("a report of %d loads is decoded with %d, complete: %v", loads, len(got.Loads), got.Complete)
		}
	}
}

func TestTruncatedMessageIsRejected(t *testing.T) {
	encoded := (&peer.Message{
		Host:     "host-1",
		LinkMbps: 10,
		Loads:    []scheduling.PeerLoad{{Endpoint: 7, Running: 3}},
	}).Append(nil)
	for length := range encoded {
		_, err := peer.Decode(encoded[:length])
		var malformed *peer.MalformedError
		if !errors.As(err, &malformed) {
			t.Errorf("decoding %d of %d bytes returned error %v, want a MalformedError", length, len(encoded), err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add((&peer.Message{Host: "h", Placements: []scheduling.Placement{{Endpoint: 1}}}).Append(nil))
	f.Add([]byte{1, 0, 200})
	f.Fuzz(func(t *testing.T, bytes []byte) {
		m, err := peer.Decode(bytes)
		if err == nil && m.Host == "" {
			t.Error("decoded a message without a sender")
		}
	})
}
