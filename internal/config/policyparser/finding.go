package policyparser

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Finding is a problem in an INI text, with its section and key.
type Finding struct {
	Section, Key, Problem string
}

func (f Finding) String() string {
	return fmt.Sprintf("[%s] %s: %s", f.Section, f.Key, f.Problem)
}

// Findings is the list of all problems in a text. The zero value is an empty
// list.
type Findings []Finding

func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "; ")
}

// Add appends a finding.
func (f *Findings) Add(section, key, problem string) {
	*f = append(*f, Finding{Section: section, Key: key, Problem: problem})
}

// CheckUnknownKeys adds a finding for each key of the section that is not in
// known.
func (f *Findings) CheckUnknownKeys(s *ini.Section, problem string, known ...string) {
	for _, k := range s.Keys() {
		if !slices.Contains(known, k.Name()) {
			f.Add(s.Name(), k.Name(), problem)
		}
	}
}

// ParseDuration returns the duration in a key. If it is not a duration from low
// to high, ParseDuration adds a finding and returns 0.
func (f *Findings) ParseDuration(s *ini.Section, key string, low, high time.Duration) time.Duration {
	d, err := time.ParseDuration(s.Key(key).String())
	if err != nil || d < low || d > high {
		f.Add(s.Name(), key, fmt.Sprintf("not a duration from %v to %v", low, high))
		return 0
	}
	return d
}

// ParseInteger returns the integer in a key. If it is not an integer from low to
// high, ParseInteger adds a finding and returns 0.
func (f *Findings) ParseInteger(s *ini.Section, key string, low, high int) int {
	n, err := s.Key(key).Int()
	if err != nil || n < low || n > high {
		f.Add(s.Name(), key, fmt.Sprintf("not a whole number from %d to %d", low, high))
		return 0
	}
	return n
}
