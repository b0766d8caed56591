package upload_test

import (
	"testing"
	"time"

	"cactuswell/core/upload"
)

// TestJudge holds what each course of a request after the end of its response proves.
func TestJudge(t *testing.T) {
	const soon, later, late = time.Millisecond, upload.OpenTime, upload.SettleTime
	atEnd := upload.Transfer{
		IsKnown: true,
		Unacked: 70,
		Acked:   30,
	}
	with := func(change func(*upload.Transfer)) upload.Transfer {
		transfer := atEnd
		change(&transfer)
		return transfer
	}
	arrived := with(func(t *upload.Transfer) {
		t.IsWritten = true
		t.Unacked, t.Acked = 0, 100
	})
	reset := with(func(t *upload.Transfer) { t.IsReset = true })
	acked := with(func(t *upload.Transfer) { t.Unacked, t.Acked = 69, 31 })
	heldBack := with(func(t *upload.Transfer) { t.IsHeldBack = true })
	unwritten := with(func(t *upload.Transfer) { t.Unacked, t.Acked = 0, 100 })
	arrivedAndReset := arrived
	arrivedAndReset.IsReset = true
	failed := arrivedAndReset
	failed.IsWriteFailed = true
	ackedAndReset := acked
	ackedAndReset.IsReset = true
	for name, test := range map[string]struct {
		transfer          upload.Transfer
		soon, later, late upload.Verdict
	}{
		"nothing new":               {transfer: atEnd, soon: upload.Pending, later: upload.Pending, late: upload.Unacknowledged},
		"all acknowledged":          {transfer: arrived, soon: upload.Arrived, later: upload.Arrived, late: upload.Arrived},
		"reset":                     {transfer: reset, soon: upload.Reset, later: upload.Reset, late: upload.Reset},
		"more, and reset":           {transfer: ackedAndReset, soon: upload.Reset, later: upload.Reset, late: upload.Reset},
		"all, and reset":            {transfer: arrivedAndReset, soon: upload.Arrived, later: upload.Arrived, late: upload.Arrived},
		"the write failed":          {transfer: failed, soon: upload.WriteFailed, later: upload.WriteFailed, late: upload.WriteFailed},
		"more acknowledged":         {transfer: acked, soon: upload.Pending, later: upload.HalfClosed, late: upload.HalfClosed},
		"no room":                   {transfer: heldBack, soon: upload.Pending, later: upload.Pending, late: upload.HalfClosed},
		"written bytes, more comes": {transfer: unwritten, soon: upload.Pending, later: upload.HalfClosed, late: upload.HalfClosed},
		"unknown":                   {transfer: upload.Transfer{IsWritten: true}, soon: upload.Unknown, later: upload.Unknown, late: upload.Unknown},
	} {
		watch := upload.New(atEnd)
		if got := watch.Judge(test.transfer, soon); got != test.soon {
			t.Errorf("%s, soon: %s, want %s", name, got, test.soon)
		}
		if got := watch.Judge(test.transfer, later); got != test.later {
			t.Errorf("%s, later: %s, want %s", name, got, test.later)
		}
		if got := watch.Judge(test.transfer, late); got != test.late {
			t.Errorf("%s, late: %s, want %s", name, got, test.late)
		}
	}
}
