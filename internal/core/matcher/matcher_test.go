package matcher

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestFindRoute(t *testing.T) {
	table := New(Config{Routes: []Route{
		{Kind: "short", Host: "h.example", PathPrefix: "/a/"},
		{Kind: "long", Host: "h.example", PathPrefix: "/a/b/"},
		{Kind: "other", Host: "o.example", PathPrefix: "/a/"},
	}})
	cases := map[string]struct {
		host, path               string
		wantRoute, wantRemainder string
	}{
		"the only matching prefix":             {"h.example", "/a/x", "short", "x"},
		"the longest of two matching prefixes": {"h.example", "/a/b/x", "long", "x"},
		"the same prefix on another host":      {"o.example", "/a/b/x", "other", "b/x"},
		"host with a port":                     {"h.example:80", "/a/x", "short", "x"},
		"host in mixed case":                   {"H.Example", "/a/x", "short", "x"},
		"path equal to the prefix":             {"h.example", "/a/", "short", ""},
		"unknown prefix":                       {"h.example", "/c/x", "", ""},
		"prefix without its last slash":        {"h.example", "/a", "", ""},
		"unknown host":                         {"n.example", "/a/x", "", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, remainder := table.FindRoute(c.host, c.path)
			if c.wantRoute == "" {
				must.Nil(t, r)
				return
			}
			must.Eq(t, c.wantRoute, string(r.Kind))
			must.Eq(t, c.wantRemainder, remainder)
		})
	}
}
