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
	g := &configBuilder{}
	g.addFleet(&a.Organization)
	for i := range a.Callers {
		g.addTeam(&a.Callers[i])
	}
	for i := range a.WorkKinds {
		g.addKind(&a.WorkKinds[i])
	}
	return g.lines
}

type configBuilder struct {
	lines []Line
}

func (g *configBuilder) addLine(section, key, value, from string) {
	g.lines = append(g.lines, Line{section, key, value, from})
}

// defaultDeadline is given to work of no kind's own.
const defaultDeadline = 30 * time.Second

func (g *configBuilder) addFleet(t *Organization) {
	g.addLine("fleet", "domains", strings.Join(t.Domains, ", "), "[trade] domains")
	g.addLine("fleet", "remember", t.ResubmitPeriod.String(), "[trade] resubmit")
	g.addLine("fleet", "skew", t.MaxClockSkew.String(), "[trade] clocks")
	g.addLine("fleet", "deadline", defaultDeadline.String(), "the same for all")
	g.addLine("fleet", "tasks", strconv.Itoa(t.MaxTasksPerJob), "[trade] largest")
	for _, s := range t.Services {
		g.addLine("service "+s, "", "", "[trade] services")
	}
}

func (g *configBuilder) addTeam(c *Caller) {
	section, from := "team "+c.Name, "[caller "+c.Name+"] "
	if c.TokenDigest != "" {
		g.addLine(section, "token", c.TokenDigest, from+"digest")
	}
	role := "caller"
	if c.IsOperator {
		role = "operator"
	}
	g.addLine(section, "role", role, from+"operator")
	if c.TaskQuota > 0 {
		g.addLine(section, "quota", strconv.Itoa(c.TaskQuota), from+"at_once")
	}
}

// addKind gives a kind its part of the fleet by the harm of a late result, and
// lets it queue for less time the more that harm is: a caller who cannot wait
// is better served by an early refusal than by a late answer.
func (g *configBuilder) addKind(w *WorkKind) {
	section, from := "kind "+w.Name, "[work "+w.Name+"] "
	g.addLine(section, "weight", strconv.Itoa(1<<w.LateHarm), from+"late = "+w.LateHarm.String())
	g.addLine(section, "deadline", w.CallerTimeout.String(), from+"patience")
	wait := w.CallerTimeout / time.Duration(2+w.LateHarm)
	g.addLine(section, "wait", wait.String(), from+"patience and late = "+w.LateHarm.String())
	unrepeatable := w.DuplicateHarm >= HarmCostly
	g.addLine(section, "unrepeatable", strconv.FormatBool(unrepeatable), from+"doubled = "+w.DuplicateHarm.String())
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
func Diff(oldLines, newLines []Line) []Change {
	type lineKey struct{ section, key string }
	changes := make(map[lineKey]Change)
	for i := range oldLines {
		changes[lineKey{oldLines[i].Section, oldLines[i].Key}] = Change{Old: &oldLines[i]}
	}
	for i := range newLines {
		p := lineKey{newLines[i].Section, newLines[i].Key}
		c := changes[p]
		c.New = &newLines[i]
		changes[p] = c
	}
	var differing []Change
	for _, c := range changes {
		if c.Old == nil || c.New == nil || c.Old.Value != c.New.Value {
			differing = append(differing, c)
		}
	}
	sort.Slice(differing, func(i, j int) bool { return differing[i].sortKey() < differing[j].sortKey() })
	return differing
}

func (c Change) sortKey() string {
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
