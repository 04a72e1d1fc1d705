package generator

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Line is one line of a generated configuration, with the answer that it
// comes from.
type Line struct {
	Section, Key, Value, From string
}

// Generate derives the configuration from the answers.
func Generate(a *Answers) []Line {
	g := &generated{}
	g.trade(&a.Trade)
	for i := range a.Callers {
		g.caller(&a.Callers[i])
	}
	for i := range a.Work {
		g.work(&a.Work[i])
	}
	return g.lines
}

type generated struct {
	lines []Line
}

func (g *generated) add(section, key, value, from string) {
	g.lines = append(g.lines, Line{section, key, value, from})
}

// defaultDeadline is given to work of no kind's own.
const defaultDeadline = 30 * time.Second

func (g *generated) trade(t *Trade) {
	g.add("fleet", "domains", strings.Join(t.Domains, ", "), "[trade] domains")
	g.add("fleet", "remember", t.Resubmit.String(), "[trade] resubmit")
	g.add("fleet", "skew", t.Clocks.String(), "[trade] clocks")
	g.add("fleet", "deadline", defaultDeadline.String(), "the same for all")
	g.add("fleet", "tasks", strconv.Itoa(t.Largest), "[trade] largest")
	for _, s := range t.Services {
		g.add("service "+s, "", "", "[trade] services")
	}
}

func (g *generated) caller(c *Caller) {
	section, from := "team "+c.Name, "[caller "+c.Name+"] "
	if c.Digest != "" {
		g.add(section, "token", c.Digest, from+"digest")
	}
	role := "caller"
	if c.Operator {
		role = "operator"
	}
	g.add(section, "role", role, from+"operator")
	if c.AtOnce > 0 {
		g.add(section, "quota", strconv.Itoa(c.AtOnce), from+"at_once")
	}
}

// work gives a kind its part of the fleet by the harm of a late result, and
// lets it queue for less time the more that harm is: a caller who cannot wait
// is better served by an early refusal than by a late answer.
func (g *generated) work(w *Work) {
	section, from := "kind "+w.Name, "[work "+w.Name+"] "
	g.add(section, "weight", strconv.Itoa(1<<w.Late), from+"late = "+w.Late.String())
	g.add(section, "deadline", w.Patience.String(), from+"patience")
	wait := w.Patience / time.Duration(2+w.Late)
	g.add(section, "wait", wait.String(), from+"patience and late = "+w.Late.String())
	unrepeatable := w.Doubled >= Costly
	g.add(section, "unrepeatable", strconv.FormatBool(unrepeatable), from+"doubled = "+w.Doubled.String())
}

// Text renders a configuration as it is published, each line with the answer
// that it comes from.
func Text(lines []Line) string {
	var b strings.Builder
	section := ""
	for _, l := range lines {
		if l.Section != section {
			fmt.Fprintf(&b, "\n[%s]\n", l.Section)
			section = l.Section
		}
		fmt.Fprintf(&b, "; from %s\n", l.From)
		if l.Key != "" {
			fmt.Fprintf(&b, "%s = %s\n", l.Key, l.Value)
		}
	}
	return strings.TrimPrefix(b.String(), "\n")
}

// Change is a line that differs between two configurations. Old or New is nil
// where the line stands in one only.
type Change struct {
	Old, New *Line
}

// Diff lists the lines that differ, in order of section and key.
func Diff(old, now []Line) []Change {
	type place struct{ section, key string }
	found := make(map[place]Change)
	for i := range old {
		found[place{old[i].Section, old[i].Key}] = Change{Old: &old[i]}
	}
	for i := range now {
		p := place{now[i].Section, now[i].Key}
		c := found[p]
		c.New = &now[i]
		found[p] = c
	}
	var out []Change
	for _, c := range found {
		if c.Old == nil || c.New == nil || c.Old.Value != c.New.Value {
			out = append(out, c)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].place() < out[j].place() })
	return out
}

func (c Change) place() string {
	l := c.New
	if l == nil {
		l = c.Old
	}
	return l.Section + "\x00" + l.Key
}

func (c Change) String() string {
	switch {
	case c.Old == nil:
		return fmt.Sprintf("+ [%s] %s = %s  (from %s)", c.New.Section, c.New.Key, c.New.Value, c.New.From)
	case c.New == nil:
		return fmt.Sprintf("- [%s] %s = %s", c.Old.Section, c.Old.Key, c.Old.Value)
	default:
		return fmt.Sprintf("~ [%s] %s = %s -> %s  (from %s)", c.New.Section, c.New.Key, c.Old.Value, c.New.Value, c.New.From)
	}
}
