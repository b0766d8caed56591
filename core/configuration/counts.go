package configuration

// VerdictCounts counts the records that were reduced, by verdict.
type VerdictCounts struct {
	Accepted    uint64 `json:"accepted"`
	Conflict    uint64 `json:"conflict"`
	Stale       uint64 `json:"stale"`
	Invalid     uint64 `json:"invalid"`
	Repeated    uint64 `json:"repeated"`
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
	case VerdictRepeated:
		c.Repeated++
	case VerdictMalformed:
		c.Malformed++
	case VerdictUnknownKind:
		c.UnknownKind++
	}
}
