// Package config reads the INI settings of a process and the shared
// configuration, keeps the versions of the latter in the object store and
// distributes them. docs/configuration.md lists every key.
package config

import (
	"errors"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Error tells what is wrong with one key.
type Error struct {
	File     string
	Line     int    // 0 if the key is missing and its section too
	Key      string // "section.key", or the section
	Expected string
	Got      string
}

// Error implements error.
func (e *Error) Error() string {
	s := e.File
	if e.Line > 0 {
		s += fmt.Sprintf(":%d", e.Line)
	}
	s += ": "
	if e.Key != "" {
		s += e.Key + ": "
	}
	s += "expected " + e.Expected
	if e.Got != "" {
		s += fmt.Sprintf(", got %q", e.Got)
	}
	return s
}

// Errors returns the single faults of an error of this package.
func Errors(err error) []*Error {
	var one *Error
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var out []*Error
		for _, e := range joined.Unwrap() {
			out = append(out, Errors(e)...)
		}
		return out
	}
	if errors.As(err, &one) {
		return []*Error{one}
	}
	return nil
}

// document is a parsed INI text with the line of each section and key.
type document struct {
	file     string
	sections []*section
	errs     []error
}

type section struct {
	name string
	line int
	keys []entry
}

type entry struct {
	key, value string
	line       int
}

func (d *document) fault(line int, key, expected, got string) {
	d.errs = append(d.errs, &Error{File: d.file, Line: line, Key: key, Expected: expected, Got: got})
}

func (d *document) err() error {
	switch len(d.errs) {
	case 0:
		return nil
	case 1:
		return d.errs[0]
	}
	return errors.Join(d.errs...)
}

// find returns the section of that name, or nil.
func (d *document) find(name string) *section {
	for _, s := range d.sections {
		if s.name == name {
			return s
		}
	}
	return nil
}

func (s *section) find(key string) *entry {
	for i := range s.keys {
		if s.keys[i].key == key {
			return &s.keys[i]
		}
	}
	return nil
}

// maxTextBytes bounds a configuration text, so that it fits one stored object.
const maxTextBytes = 500_000

// parse reads an INI text. The ini package knows no line numbers and accepts
// more than one way to write a value; the scan finds the lines and refuses
// what would make the two disagree: repeated sections and keys, values over
// several lines, and text outside of a section.
func parse(file string, text []byte) *document {
	d := &document{file: file}
	if len(text) > maxTextBytes {
		d.fault(0, "", fmt.Sprintf("a text of at most %d bytes", maxTextBytes), "")
		return d
	}
	d.scan(string(text))
	if len(d.errs) > 0 {
		return d
	}
	f, err := ini.LoadSources(ini.LoadOptions{
		KeyValueDelimiters: "=", IgnoreContinuation: true, SkipUnrecognizableLines: false,
	}, text)
	if err != nil {
		d.fault(0, "", "an INI text", err.Error())
		return d
	}
	for _, s := range d.sections {
		fs, err := f.GetSection(s.name)
		if err != nil {
			d.fault(s.line, s.name, "a section that the INI parser knows", err.Error())
			continue
		}
		known := fs.KeysHash()
		for i := range s.keys {
			v, ok := known[s.keys[i].key]
			if !ok {
				d.fault(s.keys[i].line, s.name+"."+s.keys[i].key, "a key that the INI parser knows", "")
				continue
			}
			s.keys[i].value = v
		}
	}
	return d
}

func (d *document) scan(text string) {
	var cur *section
	n := 0
	for line := range strings.Lines(strings.TrimPrefix(text, "\ufeff")) {
		n++
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
			continue
		case strings.ContainsAny(line, "\x00\r\u0085\u2028\u2029") || !validUTF8(line):
			d.fault(n, "", "a line of UTF-8 text without control characters", line)
		case line[0] == '[':
			name, rest, ok := strings.Cut(line[1:], "]")
			rest = strings.TrimSpace(rest)
			if !ok || rest != "" && rest[0] != '#' && rest[0] != ';' {
				d.fault(n, "", "a section as [NAME]", line)
				return
			}
			name = strings.TrimSpace(name)
			if !plainName(strings.ReplaceAll(name, " ", "-")) || strings.EqualFold(name, ini.DefaultSection) {
				d.fault(n, "", "a section name of letters, digits, - and _", name)
				return
			}
			if old := d.find(name); old != nil {
				d.fault(n, name, fmt.Sprintf("each section once; the first is on line %d", old.line), "")
			}
			cur = &section{name: name, line: n}
			d.sections = append(d.sections, cur)
		default:
			key, value, ok := strings.Cut(line, "=")
			key, value = strings.TrimSpace(key), strings.TrimSpace(value)
			switch {
			case !ok || !plainName(key):
				d.fault(n, "", "key = value, with a key of letters, digits, - and _", line)
			case cur == nil:
				d.fault(n, key, "a section before the first key", "")
			case strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`") || strings.Contains(value, "%("):
				d.fault(n, cur.name+"."+key, `a value on one line without """, backquotes and %(`, value)
			case cur.find(key) != nil:
				d.fault(n, cur.name+"."+key, fmt.Sprintf("each key once; the first is on line %d", cur.find(key).line), "")
			default:
				cur.keys = append(cur.keys, entry{key: key, line: n})
			}
		}
	}
}

// plainName reports whether s can name a section, a key or an instance.
func plainName(s string) bool {
	if s == "" || len(s) > 63 {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_') {
			return false
		}
	}
	return true
}

func validUTF8(s string) bool { return strings.ToValidUTF8(s, "") == s }
