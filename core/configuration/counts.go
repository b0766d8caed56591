package configuration

// VerdictCounts holds the number of applied records by verdict.
type VerdictCounts struct {
	Accepted    uint64 `json:"accepted"`
	Conflict    uint64 `json:"conflict"`
	Stale       uint64 `json:"stale"`
	Invalid     uint64 `json:"invalid"`
	Duplicate   uint64 `json:"repeated"`
	Malformed   uint64 `json:"malformed"`
	UnknownKind uint64 `json:"unknownKind"`
}

func (c *VerdictCounts) add(verdict Verdict) {
	switch verdict {
	case VerdictAccepted:
		c.Accepted++
	case VerdictConflict:
		c.Conflict++
	case VerdictStale:
		c.Stale++
	case VerdictInvalid:
		c.Invalid++
	case VerdictDuplicate:
		c.Duplicate++
	case VerdictMalformed:
		c.Malformed++
	case VerdictUnknownKind:
		c.UnknownKind++
	}
}
