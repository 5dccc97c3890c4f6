// Package origin decides which upstreams may write events of a stream. Upstreams of one
// service may run several versions of their software, and what two versions write does
// not fit together, so a stream goes on only at the version that began it. The package
// has no clock and no I/O.
package origin

// Origin names the upstreams that may write events of a stream: those of one service
// that run one version of its software.
type Origin struct {
	Service string
	Version string // empty: the upstreams give none
}

// Source says from where the origin of a stream that a caller takes up is known.
type Source int

// Sources of an origin.
const (
	Unknown     Source = iota
	Recorded           // the storage processes have it
	Local              // the stream began at this process
	Unversioned        // the upstreams of the service give no versions
)

// String implements fmt.Stringer.
func (s Source) String() string { return [...]string{"unknown", "recorded", "local", "unversioned"}[s] }

// Knowledge holds what a process knows of the origin of a stream; nil: nothing.
type Knowledge struct{ Recorded, Local, Unversioned *Origin }

// Resolve returns the origin of the stream and its source. A record is preferred: it is
// the only source that shows that the stream moved before its first event.
func (k Knowledge) Resolve() (Origin, Source) {
	switch {
	case k.Recorded != nil:
		return *k.Recorded, Recorded
	case k.Local != nil:
		return *k.Local, Local
	case k.Unversioned != nil:
		return *k.Unversioned, Unversioned
	}
	return Origin{}, Unknown
}

// Binding binds the attempts of one request to the origin of its stream. The zero value
// binds to nothing.
type Binding struct {
	origin   Origin
	revision uint32 // number of origins so far; 0: not bound
	begun    bool   // the caller has events of the stream
}

// Bind binds a stream that has not begun to an origin, or moves it to another one. It
// reports false, and changes nothing, if the stream has begun.
func (b *Binding) Bind(o Origin) bool {
	if b.begun {
		return false
	}
	b.origin = o
	b.revision++
	return true
}

// Continue binds a stream that has begun in an earlier request to its origin.
func (b *Binding) Continue(o Origin) {
	b.origin, b.revision, b.begun = o, 1, true
}

// Begin records that the caller gets the first event: the stream keeps its origin from
// now on.
func (b *Binding) Begin() { b.begun = true }

// Bound reports whether the stream is bound to an origin.
func (b *Binding) Bound() bool { return b.revision > 0 }

// Begun reports whether the caller has events of the stream.
func (b *Binding) Begun() bool { return b.begun }

// Origin returns the origin to which the stream is bound.
func (b *Binding) Origin() Origin { return b.origin }

// Revision counts the origins that the stream was bound to, including the current one.
func (b *Binding) Revision() uint32 { return b.revision }
