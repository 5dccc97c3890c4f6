package fleet

import (
	"math"
	"time"
)

const (
	// reportValidity is the age from which on a reported pace has no weight. What slows an
	// upstream changes about every 600 ms.
	reportValidity = 600 * time.Millisecond
	// measuredHalfLife is that of a pace that this process measured.
	measuredHalfLife = 400 * time.Millisecond
	// priorMeasurements is the number of fresh measurements that what was known before counts
	// as: a single one also depends on work that this process does not see.
	priorMeasurements = 4.0
	// usualWeight is the weight of the newest measurement in the usual pace of a member.
	usualWeight = 0.05
	// reportPrior is the number of measurements that a member's average report counts as.
	reportPrior = 4.0
	// maxReportStep is how many times slower or faster than the average a report counts as in
	// that average.
	maxReportStep = 1.5
	// maxDeviation is how many times slower or faster than usual a member is believed to be.
	// Neighbours slow an upstream 2.5 times.
	maxDeviation = 4.0
)

// pace is how long work takes at a member, relative to the average member of its service.
type pace struct {
	usual    average // of this process's measurements
	reports  average
	reported float64
	measured float64
	fresh    float64 // measurements in measured, by their age at measuredAt

	reportedAt, measuredAt time.Time // zero: never
}

// report records a reported pace.
func (p *pace) report(v float64, now time.Time) {
	if p.reports.n > 0 {
		v = min(max(v, p.reports.value/maxDeviation), p.reports.value*maxDeviation)
	}
	p.average(v)
	p.reported, p.reportedAt = v, now
}

// average adds a reported pace to the average one, which starts at the usual pace. A single
// report changes it by little.
func (p *pace) average(v float64) {
	if p.reports.n == 0 {
		p.reports = average{value: 1, n: reportPrior}
	}
	mean := p.reports.value
	p.reports.add(min(max(v, mean/maxReportStep), mean*maxReportStep), usualWeight)
}

// measure records a measured pace.
func (p *pace) measure(v float64, now time.Time) {
	usual := p.usualPace()
	v = min(max(v, usual/maxDeviation), usual*maxDeviation)
	p.usual.add(v, usualWeight)
	fresh := p.fresh * decay(p.measuredAt, now, measuredHalfLife)
	p.measured = (v + fresh*p.measured) / (1 + fresh)
	p.fresh, p.measuredAt = fresh+1, now
}

// usualPace returns the long-term pace: measured, and as reported before there are enough
// measurements.
func (p *pace) usualPace() float64 {
	prior := 1.0
	if p.reports.n > 0 {
		prior = p.reports.value
	}
	n := min(p.usual.n, 1/usualWeight)
	return (reportPrior*prior + n*p.usual.value) / (reportPrior + n)
}

// now returns the pace at a time. What was measured here takes precedence over what was
// reported. Reports count relative to the average one: whether they contain that a member
// is always slow does not matter.
func (p *pace) now(now time.Time) float64 {
	usual := p.usualPace()
	v := usual
	if p.reports.n > 0 {
		weight := max(1-float64(now.Sub(p.reportedAt))/float64(reportValidity), 0)
		v += weight * usual * (p.reported/p.reports.value - 1)
	}
	fresh := p.fresh * decay(p.measuredAt, now, measuredHalfLife)
	return v + fresh/(fresh+priorMeasurements)*(p.measured-v)
}

// decay returns the weight of something that was observed at a time; 0: never.
func decay(at, now time.Time, halfLife time.Duration) float64 {
	if at.IsZero() {
		return 0
	}
	age := float64(now.Sub(at)) / float64(halfLife)
	if age > 20 {
		return 0
	}
	return math.Exp2(-max(age, 0))
}
