package generator

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"
)

// ConfigLine is one line of a generated configuration. From is the answer that it comes
// from. The names of its fields are keys in the JSON output of the command
// generate.
type ConfigLine struct {
	Section, Key, Value, From string
}

// GenerateConfig returns the configuration that results from the answers.
func GenerateConfig(a *Answers) []ConfigLine {
	b := &configBuilder{}
	b.addFleet(&a.Organization)
	for i := range a.Callers {
		b.addTeam(&a.Callers[i])
	}
	for i := range a.WorkKinds {
		b.addKind(&a.WorkKinds[i])
	}
	return b.lines
}

type configBuilder struct {
	lines []ConfigLine
}

func (b *configBuilder) addLine(section, key, value, from string) {
	b.lines = append(b.lines, ConfigLine{section, key, value, from})
}

// defaultDeadline is the time allowed for work without a deadline whose kind sets
// none either.
const defaultDeadline = 30 * time.Second

func (b *configBuilder) addFleet(o *Organization) {
	b.addLine("fleet", "domains", strings.Join(o.Domains, ", "), "[trade] domains")
	b.addLine("fleet", "remember", o.ResubmitPeriod.String(), "[trade] resubmit")
	b.addLine("fleet", "skew", o.MaxClockSkew.String(), "[trade] clocks")
	b.addLine("fleet", "deadline", defaultDeadline.String(), "the same for all")
	b.addLine("fleet", "tasks", strconv.Itoa(o.MaxTasksPerJob), "[trade] largest")
	for _, s := range o.Services {
		b.addLine("service "+s, "", "", "[trade] services")
	}
}

func (b *configBuilder) addTeam(c *Caller) {
	section, from := "team "+c.Name, "[caller "+c.Name+"] "
	if c.TokenDigest != "" {
		b.addLine(section, "token", c.TokenDigest, from+"digest")
	}
	role := "caller"
	if c.IsOperator {
		role = "operator"
	}
	b.addLine(section, "role", role, from+"operator")
	if c.TaskQuota > 0 {
		b.addLine(section, "quota", strconv.Itoa(c.TaskQuota), from+"at_once")
	}
}

// addKind adds the section of a kind. The more harm a late result does, the larger
// is the kind's share of the fleet and the shorter the queueing time with which its
// work is admitted: an early refusal is better than a late answer for a caller
// that cannot wait.
func (b *configBuilder) addKind(w *WorkKind) {
	section, from := "kind "+w.Name, "[work "+w.Name+"] "
	b.addLine(section, "weight", strconv.Itoa(1<<w.LateHarm), from+"late = "+w.LateHarm.String())
	b.addLine(section, "deadline", w.CallerTimeout.String(), from+"patience")
	wait := w.CallerTimeout / time.Duration(2+w.LateHarm)
	b.addLine(section, "wait", wait.String(), from+"patience and late = "+w.LateHarm.String())
	unrepeatable := w.DuplicateHarm >= HarmCostly
	b.addLine(section, "unrepeatable", strconv.FormatBool(unrepeatable), from+"doubled = "+w.DuplicateHarm.String())
}

// FormatConfig returns the text of a configuration as it is published. A comment before
// each line names the answer that the line comes from.
func FormatConfig(lines []ConfigLine) string {
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

// Change is a line that differs between two configurations. Old is nil if the line
// was added, New if it was removed. The names of its fields are keys in the JSON
// output of the command diff.
type Change struct {
	Old, New *ConfigLine
}

// DiffConfigs returns the lines that differ, sorted by section and key.
func DiffConfigs(oldLines, newLines []ConfigLine) []Change {
	type lineKey struct{ section, key string }
	changes := make(map[lineKey]Change)
	for i := range oldLines {
		changes[lineKey{oldLines[i].Section, oldLines[i].Key}] = Change{Old: &oldLines[i]}
	}
	for i := range newLines {
		key := lineKey{newLines[i].Section, newLines[i].Key}
		c := changes[key]
		c.New = &newLines[i]
		changes[key] = c
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
