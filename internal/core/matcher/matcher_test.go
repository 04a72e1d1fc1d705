package matcher

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestMatch(t *testing.T) {
	table := New(Config{Routes: []Route{
		{Name: "short", Host: "h.example", Prefix: "/a/"},
		{Name: "long", Host: "h.example", Prefix: "/a/b/"},
		{Name: "other", Host: "o.example", Prefix: "/a/"},
	}})
	cases := map[string]struct {
		host, path string
		name, rest string
	}{
		"only prefix":            {"h.example", "/a/x", "short", "x"},
		"longest prefix":         {"h.example", "/a/b/x", "long", "x"},
		"host tells":             {"o.example", "/a/b/x", "other", "b/x"},
		"host with a port":       {"h.example:80", "/a/x", "short", "x"},
		"host in other letters":  {"H.Example", "/a/x", "short", "x"},
		"prefix itself":          {"h.example", "/a/", "short", ""},
		"no such prefix":         {"h.example", "/c/x", "", ""},
		"prefix that is cut off": {"h.example", "/a", "", ""},
		"no such host":           {"n.example", "/a/x", "", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, rest := table.Match(c.host, c.path)
			if c.name == "" {
				must.Nil(t, r)
				return
			}
			must.Eq(t, c.name, string(r.Name))
			must.Eq(t, c.rest, rest)
		})
	}
}
