package peer_test

import (
	"math"
	"runtime"
	"testing"
	"time"

	"cactuswell/core/quarantine"
	"cactuswell/core/replica"
	"cactuswell/core/scheduling"
	"cactuswell/io/peer"
)

// TestMessageWithLargeNumbersIsDecoded guards against a host whose reports no other host can read, so that it counts as silent.
func TestMessageWithLargeNumbersIsDecoded(t *testing.T) {
	const endpoint = 7
	for name, number := range map[string]int64{"beyond the bound": 1<<30 + 1, "largest": math.MaxInt64, "smallest": math.MinInt64} {
		count := int(number)
		duration := time.Duration(number)
		if number == 1<<30+1 {
			duration *= time.Millisecond
		}
		for field, sent := range map[string]peer.Message{
			"hosts":             {Hosts: count},
			"pending prefill":   {Loads: []scheduling.PeerLoad{{Endpoint: endpoint, PendingPrefill: duration}}},
			"running":           {Loads: []scheduling.PeerLoad{{Endpoint: endpoint, Running: count}}},
			"latency-sensitive": {Loads: []scheduling.PeerLoad{{Endpoint: endpoint, LatencySensitive: count}}},
			"placed tokens":     {Placements: []scheduling.Placement{{Endpoint: endpoint, Tokens: count}}},
			"quiet time":        {Notices: []scheduling.Notice{{Endpoint: endpoint, QuietFor: duration}}},
			"demand":            {Demands: []scheduling.Demand{{Service: endpoint, LatencySensitive: duration, Other: duration}}},
			"sent":              {Limits: []scheduling.LimitReport{{Endpoint: endpoint, Age: duration, Sent: count}}},
			"call demand":       {CallDemands: []scheduling.CallDemand{{Service: endpoint, Calls: count, Hosts: count}}},
			"quarantine":        {Findings: []quarantine.Finding{quarantine.Quarantine{Request: 1, Age: duration, Left: duration}}},
			"position":          {Copies: []peer.Copy{{Topic: "t", End: replica.Position{Era: number, Offset: number}}}},
		} {
			t.Run(field+" "+name, func(t *testing.T) {
				sent.Host = "host-1"
				got, err := peer.Decode(sent.Append(nil))
				if err != nil {
					t.Fatal(err)
				}
				if len(got.Limits) != len(sent.Limits) || len(got.CallDemands) != len(sent.CallDemands) || len(got.Findings) != len(sent.Findings) {
					t.Errorf("an extension is lost: %+v", got)
				}
			})
		}
	}
}

// TestMalformedLengthAllocatesLittle guards against a datagram of some bytes for which a host allocates a gigabyte.
func TestMalformedLengthAllocatesLittle(t *testing.T) {
	encoded := (&peer.Message{Host: "host-1"}).Append(nil)
	encoded = append(encoded, 200, 0x80, 0x80, 0x80, 0x80, 0x04)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := peer.Decode(encoded); err != nil {
		t.Fatal(err)
	}
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 1<<20 {
		t.Errorf("%d bytes allocated for a datagram of %d bytes", allocated, len(encoded))
	}
}

// TestNumbersThatAreNoRateAreRefused guards against numbers of another host that spoil each comparison and the encoding of a dump.
func TestNumbersThatAreNoRateAreRefused(t *testing.T) {
	for name, number := range map[string]float64{"NaN": math.NaN(), "infinite": math.Inf(1)} {
		t.Run(name, func(t *testing.T) {
			limits := peer.Message{
				Host:   "host-1",
				Limits: []scheduling.LimitReport{{Endpoint: 7, Limit: scheduling.Limit{IsNamed: true, PerSecond: number}}},
			}
			got, err := peer.Decode(limits.Append(nil))
			if err == nil && len(got.Limits) > 0 {
				t.Errorf("a limit of %v a second is taken", got.Limits[0].Limit.PerSecond)
			}
			link := peer.Message{
				Host:     "host-1",
				LinkMbps: 1,
			}
			encoded := link.Append(nil)
			for i := range 8 {
				encoded[len(encoded)-8+i] = byte(math.Float64bits(number) >> (56 - 8*i))
			}
			if got, err := peer.Decode(encoded); err == nil && got.LinkMbps != 0 {
				t.Errorf("a link of %v Mbit/s is taken", got.LinkMbps)
			}
		})
	}
}
