package requester

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestOddEntrySparesList guards against a list that can't be read because of one entry of
// another writer, and against using such an entry.
func TestOddEntrySparesList(t *testing.T) {
	deep := strings.Repeat("[", 10001) + strings.Repeat("]", 10001)
	good := map[string]string{
		"instances": `{"name":"good","peer":"10.0.0.1:80"}`,
		"workers":   `{"name":"good","addr":"10.0.0.1:80","domain":"a","total":{"cores":1000}}`,
		"minions":   `{"name":"good","addr":"10.0.0.1:80","service":"s","slots":4}`,
	}
	odd := map[string]string{
		"deeply nested":       `{"name":"odd","peer":"10.0.0.2:80","addr":"10.0.0.2:80","x":` + deep + `}`,
		"a million levels":    strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000),
		"a number too large":  `{"name":1e400,"peer":"10.0.0.2:80","addr":"10.0.0.2:80","total":{"cores":1e400},"slots":1e400}`,
		"a port out of range": `{"name":"odd","peer":"10.0.0.2:65536","addr":"10.0.0.2:65536"}`,
		"a port of 0":         `{"name":"odd","peer":"10.0.0.2:0","addr":"10.0.0.2:0"}`,
		"null":                `null`,
	}
	for name, entry := range odd {
		for _, field := range []string{"instances", "workers", "minions"} {
			t.Run(field+": "+name, func(t *testing.T) {
				var lists []string
				for f, g := range good {
					if f == field {
						g = entry + "," + g
					}
					lists = append(lists, `"`+f+`":[`+g+`]`)
				}
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = w.Write([]byte("{" + strings.Join(lists, ",") + "}"))
				}))
				defer srv.Close()
				r := New(strings.TrimPrefix(srv.URL, "http://"))
				defer r.Close()
				list, err := r.GetList(context.Background())
				must.NoError(t, err)
				must.Eq(t, []int{1, 1, 1}, []int{len(list.Instances), len(list.Workers), len(list.Minions)})
				must.Eq(t, []string{"good", "good", "good"}, []string{list.Instances[0].Name, list.Workers[0].Name, list.Minions[0].Name})
			})
		}
	}
}
