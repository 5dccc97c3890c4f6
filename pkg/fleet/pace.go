package fleet

import (
	"math"
	"time"
)

const (
	// reportValidity is the age from which on a reported pace has no weight. The load of the
	// machine that slows an upstream changes about every 600 ms.
	reportValidity = 600 * time.Millisecond
	// measuredHalfLife is the half-life of a pace that this process measured.
	measuredHalfLife = 400 * time.Millisecond
	// priorMeasurements is the number of fresh measurements that the usual and the reported
	// pace together count as. A single measurement also depends on work that this process
	// does not see.
	priorMeasurements = 4.0
	// usualWeight is the weight of the newest measurement in the usual pace of a member.
	usualWeight = 0.05
	// reportPrior is the number of measurements that a member's average report counts as.
	reportPrior = 4.0
	// maxReportStep is how many times slower or faster than the average a report counts as in
	// that average.
	maxReportStep = 1.5
	// maxDeviation is how many times slower or faster than usual a member is assumed to be at
	// most. Other work on its machine slows an upstream 2.5 times.
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
	p.addReport(v)
	p.reported, p.reportedAt = v, now
}

// addReport adds a reported pace to the average of the reports, which starts at 1. A single
// report changes it little.
func (p *pace) addReport(v float64) {
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

// now returns the pace at a time. Measurements of this process take precedence over reports.
// A report counts relative to the member's average report, so the result is the same whether or
// not the reports include that the member is always slow.
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

// decay returns the weight of an observation made at a time; 0 for the zero time.
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
