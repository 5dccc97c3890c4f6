package config

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// value parses one kind of value into a field of T.
type value[T any] struct {
	expected string
	set      func(t *T, v string) bool
}

// spec describes one key.
type spec[T any] struct {
	name     string
	def      string // default; "" with required means that the key must be there
	required bool
	unit     string
	example  string
	help     string
	value[T]
}

// Key documents one key of the settings or of the shared configuration.
type Key struct {
	Section, Name, Unit, Default, Expected, Example, Help string
	Required                                              bool
}

func describe[T any](sec string, specs []spec[T]) []Key {
	var out []Key
	for _, s := range specs {
		out = append(out, Key{
			Section: sec, Name: s.name, Unit: s.unit, Default: s.def, Expected: s.expected,
			Example: s.example, Help: s.help, Required: s.required,
		})
	}
	return out
}

// apply sets the fields of t from a section, which may be nil, and the defaults
// of the keys that it lacks.
func apply[T any](d *document, name string, s *section, specs []spec[T], t *T) {
	line := 0
	if s != nil {
		line = s.line
		for _, e := range s.keys {
			if !slices.ContainsFunc(specs, func(sp spec[T]) bool { return sp.name == e.key }) {
				d.fault(e.line, name+"."+e.key, "one of the keys "+keyNames(specs), "")
			}
		}
	}
	for _, sp := range specs {
		v, at, given := sp.def, line, false
		if s != nil {
			if e := s.find(sp.name); e != nil {
				v, at, given = e.value, e.line, true
			}
		}
		if !given && v == "" {
			if sp.required {
				d.fault(line, name+"."+sp.name, sp.expected, "nothing")
			}
			continue
		}
		if !sp.set(t, v) {
			d.fault(at, name+"."+sp.name, sp.expected, v)
		}
	}
}

func keyNames[T any](specs []spec[T]) string {
	names := make([]string, len(specs))
	for i, s := range specs {
		names[i] = s.name
	}
	return strings.Join(names, ", ")
}

func text[T any](expected string, ok func(string) bool, field func(*T) *string) value[T] {
	return value[T]{expected, func(t *T, v string) bool {
		if !ok(v) {
			return false
		}
		*field(t) = v
		return true
	}}
}

func nameOf[T any](field func(*T) *string) value[T] {
	return text("a name of letters, digits, - and _, at most 63 long", plainName, field)
}

func nonEmpty[T any](expected string, field func(*T) *string) value[T] {
	return text(expected, func(v string) bool { return v != "" }, field)
}

func oneOf[T any, S ~string](field func(*T) *S, allowed ...S) value[T] {
	names := make([]string, len(allowed))
	for i, a := range allowed {
		names[i] = string(a)
	}
	return value[T]{"one of " + strings.Join(names, ", "), func(t *T, v string) bool {
		*field(t) = S(v)
		return slices.Contains(allowed, S(v))
	}}
}

func hostPort[T any](field func(*T) *string) value[T] {
	return text("host:port with an IP address or localhost", validHostPort, field)
}

func validHostPort(v string) bool {
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		return false
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return false
	}
	return host == "localhost" || net.ParseIP(host) != nil
}

// loopback reports whether an address is reachable from this machine only.
func loopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

func duration[T any](lo, hi time.Duration, field func(*T) *time.Duration) value[T] {
	return value[T]{fmt.Sprintf("a duration from %s to %s, such as 90s or 5m", short(lo), short(hi)),
		func(t *T, v string) bool {
			d, err := time.ParseDuration(v)
			*field(t) = d
			return err == nil && d >= lo && d <= hi
		}}
}

// short formats a duration without trailing zero units.
func short(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func integer[T any, N ~int | ~int64 | ~uint64](lo, hi int64, field func(*T) *N) value[T] {
	return value[T]{fmt.Sprintf("a whole number from %d to %d", lo, hi), func(t *T, v string) bool {
		n, err := strconv.ParseInt(v, 10, 64)
		*field(t) = N(n)
		return err == nil && n >= lo && n <= hi
	}}
}

func number[T any](lo, hi float64, field func(*T) *float64) value[T] {
	return value[T]{fmt.Sprintf("a number from %g to %g", lo, hi), func(t *T, v string) bool {
		f, err := strconv.ParseFloat(v, 64)
		*field(t) = f
		return err == nil && !math.IsNaN(f) && f >= lo && f <= hi
	}}
}

func boolean[T any](field func(*T) *bool) value[T] {
	return value[T]{"true or false", func(t *T, v string) bool {
		*field(t) = v == "true"
		return v == "true" || v == "false"
	}}
}

func list[T any](expected string, ok func(string) bool, field func(*T) *[]string) value[T] {
	return value[T]{"a comma-separated list of " + expected + ", each once", func(t *T, v string) bool {
		var out []string
		for p := range strings.SplitSeq(v, ",") {
			p = strings.TrimSpace(p)
			if !ok(p) || slices.Contains(out, p) {
				return false
			}
			out = append(out, p)
		}
		*field(t) = out
		return true
	}}
}
