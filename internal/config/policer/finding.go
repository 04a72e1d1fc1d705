package policer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Finding is one thing wrong with a text, with its place.
type Finding struct {
	Section, Key, Problem string
}

func (f Finding) String() string {
	return fmt.Sprintf("[%s] %s: %s", f.Section, f.Key, f.Problem)
}

// Findings collects everything that is wrong with a text. The zero value is
// ready for use.
type Findings []Finding

func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "; ")
}

// Add notes a finding.
func (f *Findings) Add(section, key, problem string) {
	*f = append(*f, Finding{Section: section, Key: key, Problem: problem})
}

// CheckUnknownKeys notes each key of the section that is not among those known.
func (f *Findings) CheckUnknownKeys(s *ini.Section, problem string, known ...string) {
	for _, k := range s.Keys() {
		if !slices.Contains(known, k.Name()) {
			f.Add(s.Name(), k.Name(), problem)
		}
	}
}

// ParseDuration reads a duration, and notes one that is not from low to high.
func (f *Findings) ParseDuration(s *ini.Section, key string, low, high time.Duration) time.Duration {
	d, err := time.ParseDuration(s.Key(key).String())
	if err != nil || d < low || d > high {
		f.Add(s.Name(), key, fmt.Sprintf("not a duration from %v to %v", low, high))
		return 0
	}
	return d
}

// ParseInteger reads a whole number, and notes one that is not from low to high.
func (f *Findings) ParseInteger(s *ini.Section, key string, low, high int) int {
	n, err := s.Key(key).Int()
	if err != nil || n < low || n > high {
		f.Add(s.Name(), key, fmt.Sprintf("not a whole number from %d to %d", low, high))
		return 0
	}
	return n
}
