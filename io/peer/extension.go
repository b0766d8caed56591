package peer

import (
	"encoding/binary"
	"math"
	"time"

	"cactuswell/core/quarantine"
	"cactuswell/core/scheduling"
	"cactuswell/core/speed"
)

// An extension follows the fields of a message: its kind, its size as a variable-length
// integer, and its content. Kinds that a release does not know are skipped. Releases before the
// extensions ignore them, and what is bundled after a message that has one.
const (
	// minExtension is the first kind; bundleMark is lower.
	minExtension      = 2
	extensionLimits   = 3
	extensionFindings = 4
	extensionDuty     = 7
	extensionSpeeds   = 6
)

// Kinds of a finding. The kind of extension 2 held findings that did not name requests.
const (
	findingCrash = iota
	findingAnswer
	findingQuarantine
)

// Flags of a limit.
const (
	limitNamed = 1 << iota
	limitBrittle
)

// maxFindingParts bounds the parts of a finding.
const maxFindingParts = 32

func appendExtension(to []byte, kind byte, content []byte) []byte {
	to = append(to, kind)
	to = binary.AppendUvarint(to, uint64(len(content)))
	return append(to, content...)
}

// decodeExtensions decodes the extensions that follow the fields of a message. If one is
// malformed, it ignores it and the rest of the datagram.
func (m *Message) decodeExtensions(d *decoder) {
	if d.failed {
		return
	}
	for len(d.remaining) > 0 && d.remaining[0] >= minExtension {
		kind := d.byte()
		content := decoder{remaining: d.next(int(d.boundedUvarint()))}
		if !d.failed {
			d.failed = !m.decodeExtension(kind, content)
		}
		if d.failed {
			d.failed = false
			d.remaining = nil
		}
	}
}

// decodeExtension decodes the content of an extension. It reports false if it is malformed.
func (m *Message) decodeExtension(kind byte, content decoder) bool {
	switch kind {
	case extensionFindings:
		findings := content.findings()
		if content.failed {
			return false
		}
		m.Findings = findings
	case extensionLimits:
		limits, demands := content.limits(), content.callDemands()
		if content.failed {
			return false
		}
		m.Limits, m.CallDemands = limits, demands
	case extensionDuty:
		duty := content.duty()
		if content.failed {
			return false
		}
		m.Duty = duty
	case extensionSpeeds:
		speeds := content.speeds()
		if content.failed {
			return false
		}
		m.Speeds = speeds
	}
	return true
}

func appendFindings(to []byte, findings []quarantine.Finding) []byte {
	to = binary.AppendUvarint(to, uint64(len(findings)))
	for _, finding := range findings {
		switch finding := finding.(type) {
		case quarantine.Crash:
			to = append(to, findingCrash)
			to = binary.BigEndian.AppendUint64(to, finding.ID)
			to = binary.BigEndian.AppendUint64(to, finding.Endpoint)
			to = binary.BigEndian.AppendUint64(to, finding.Request)
			to = appendBool(to, finding.Began)
			to = appendParts(to, finding.Parts)
			to = appendMillis(to, finding.Flight)
			to = appendMillis(to, finding.Age)
		case quarantine.Answer:
			to = append(to, findingAnswer)
			to = binary.BigEndian.AppendUint64(to, finding.Subject)
			to = appendBool(to, finding.IsRequest)
			to = appendMillis(to, finding.Age)
		case quarantine.Quarantine:
			to = append(to, findingQuarantine)
			to = binary.BigEndian.AppendUint64(to, finding.Request)
			to = appendParts(to, finding.Parts)
			to = appendMillis(to, finding.Age)
			to = appendMillis(to, finding.Left)
		}
	}
	return to
}

func appendLimits(to []byte, limits []scheduling.LimitReport, demands []scheduling.CallDemand) []byte {
	to = binary.AppendUvarint(to, uint64(len(limits)))
	for _, l := range limits {
		to = binary.BigEndian.AppendUint64(to, l.Endpoint)
		flags := byte(0)
		if l.Limit.IsNamed {
			flags |= limitNamed
		}
		if l.Limit.IsBrittle {
			flags |= limitBrittle
		}
		to = append(to, flags)
		to = binary.BigEndian.AppendUint64(to, math.Float64bits(l.Limit.PerSecond))
		if l.Limit.IsBrittle {
			to = appendCount(to, l.Limit.MaxDeclines)
		}
		to = appendMillis(to, l.Age)
		to = appendCount(to, l.Sent)
	}
	to = binary.AppendUvarint(to, uint64(len(demands)))
	for _, demand := range demands {
		to = binary.BigEndian.AppendUint64(to, demand.Service)
		to = appendCount(to, demand.Calls)
		to = appendCount(to, demand.Hosts)
	}
	return to
}

func (d *decoder) limits() []scheduling.LimitReport {
	var limits []scheduling.LimitReport
	for range d.listLength() {
		l := scheduling.LimitReport{Endpoint: d.uint64()}
		flags := d.byte()
		l.Limit.IsNamed = flags&limitNamed != 0
		perSecond, ok := d.rate()
		l.Limit.PerSecond = perSecond
		if flags&limitBrittle != 0 {
			l.Limit.IsBrittle = true
			l.Limit.MaxDeclines = int(d.boundedUvarint())
		}
		l.Age = d.millis()
		l.Sent = int(d.boundedUvarint())
		d.failed = d.failed || !ok
		limits = append(limits, l)
	}
	return limits
}

func (d *decoder) callDemands() []scheduling.CallDemand {
	var demands []scheduling.CallDemand
	for range d.listLength() {
		demands = append(demands, scheduling.CallDemand{
			Service: d.uint64(),
			Calls:   int(d.boundedUvarint()),
			Hosts:   int(d.boundedUvarint()),
		})
	}
	return demands
}

// logRatioSteps is the number of steps of the logarithm of a ratio for a factor of e, and
// logRatioBias makes it positive.
const (
	logRatioSteps = 4096
	logRatioBias  = 1 << 15
)

func appendSpeeds(to []byte, observations []speed.Observation) []byte {
	to = binary.AppendUvarint(to, uint64(len(observations)))
	for _, o := range observations {
		to = binary.BigEndian.AppendUint64(to, o.Endpoint)
		to = append(to, byte(o.Kind))
		to = appendCount(to, o.Count)
		to = binary.BigEndian.AppendUint16(to, uint16(min(max(math.Round(o.LogRatio*logRatioSteps)+logRatioBias, 0), math.MaxUint16)))
	}
	return to
}

// speeds decodes observations. Those of kinds of work that this release does not know are left
// out.
func (d *decoder) speeds() []speed.Observation {
	var observations []speed.Observation
	for range d.listLength() {
		o := speed.Observation{
			Endpoint: d.uint64(),
			Kind:     speed.Kind(d.byte()),
			Count:    int(d.boundedUvarint()),
			LogRatio: (float64(binary.BigEndian.Uint16(d.next(2))) - logRatioBias) / logRatioSteps,
		}
		if o.Kind < speed.Kinds {
			observations = append(observations, o)
		}
	}
	return observations
}

func appendParts(to []byte, parts []uint64) []byte {
	parts = parts[:min(len(parts), maxFindingParts)]
	to = binary.AppendUvarint(to, uint64(len(parts)))
	for _, part := range parts {
		to = binary.BigEndian.AppendUint64(to, part)
	}
	return to
}

func (d *decoder) findings() []quarantine.Finding {
	var findings []quarantine.Finding
	for range d.listLength() {
		switch d.byte() {
		case findingCrash:
			findings = append(findings, quarantine.Crash{
				ID:       d.uint64(),
				Endpoint: d.uint64(),
				Request:  d.uint64(),
				Began:    d.byte() != 0,
				Parts:    d.parts(),
				Flight:   d.millis(),
				Age:      d.millis(),
			})
		case findingAnswer:
			findings = append(findings, quarantine.Answer{
				Subject:   d.uint64(),
				IsRequest: d.byte() != 0,
				Age:       d.millis(),
			})
		case findingQuarantine:
			findings = append(findings, quarantine.Quarantine{
				Request: d.uint64(),
				Parts:   d.parts(),
				Age:     d.millis(),
				Left:    d.millis(),
			})
		default:
			d.failed = true
		}
	}
	return findings
}

func (d *decoder) millis() time.Duration { return time.Duration(d.boundedUvarint()) * time.Millisecond }

func (d *decoder) parts() []uint64 {
	n := d.listLength()
	if n > maxFindingParts {
		d.failed = true
		return nil
	}
	parts := make([]uint64, 0, n)
	for range n {
		parts = append(parts, d.uint64())
	}
	return parts
}
