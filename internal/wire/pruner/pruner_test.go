package pruner

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// TestPrune checks that entries that are nested too deeply are taken out, and nothing else.
func TestPrune(t *testing.T) {
	objects := strings.Repeat(`{"a":`, 200000) + "1" + strings.Repeat("}", 200000)
	quoted := `"` + strings.Repeat("[", 5000) + `"`
	cases := map[string]struct{ text, want string }{
		"nothing deep":           {`{"a":[{"b":[1]},{"c":"]"}]}`, `{"a":[{"b":[1]},{"c":"]"}]}`},
		"deep entry":             {`{"a":[1,` + nested(10001) + `,{"b":2}]}`, `{"a":[1,null,{"b":2}]}`},
		"deep field of an entry": {`{"a":[{"x":` + objects + `},{"b":2}]}`, `{"a":[null,{"b":2}]}`},
		"two deep entries":       {`{"a":[` + nested(2000) + `],"b":[3,` + objects + `]}`, `{"a":[null],"b":[3,null]}`},
		"a million levels":       {`{"a":[` + nested(1_000_000) + `]}`, `{"a":[null]}`},
		"brackets in a string":   {`{"a":[` + quoted + `]}`, `{"a":[` + quoted + `]}`},
		"escaped quote":          {`{"a":["\"[",` + nested(2000) + `]}`, `{"a":["\"[",null]}`},
		"never closed":           {`{"a":[` + strings.Repeat("[", 20000), `{"a":[` + strings.Repeat("[", 20000)},
		"closed too often":       {`]]]]{"a":[[]]}`, `]]]]{"a":[[]]}`},
		"string without an end":  {`{"a":["\`, `{"a":["\`},
		"empty":                  {"", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { must.Eq(t, c.want, string(Prune([]byte(c.text)))) })
	}
}

// FuzzPrune checks that what can be decoded is not changed, unless it is deep.
func FuzzPrune(f *testing.F) {
	f.Add([]byte(`{"a":[1,"\"]",{"b":[]}]}`))
	f.Add([]byte(`{"a":[` + nested(1100) + `,2]}`))
	f.Add([]byte(`]"\`))
	f.Fuzz(func(t *testing.T, text []byte) {
		pruned := Prune(text)
		if json.Valid(text) && !json.Valid(pruned) {
			t.Fatalf("%q became %q", text, pruned)
		}
	})
}
