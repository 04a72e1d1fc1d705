//go:build flood

package flooder

import (
	"bytes"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/edge/server"
	"github.com/heatherslip/heatherslip/platform/emulator"
)

// The crowd and the limits of the process. Unless the process limits them, the bodies alone
// take 100 MiB, and the connections 400 descriptors.
const (
	connections = 400
	// bodyBytes is the largest body of a client inside the limits.
	bodyBytes = 256 << 10
)

var limits = Limits{MemoryMb: 64, MaxFds: 500}

func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "heatherslip")
	out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/heatherslip").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return binary
}

// padded returns a job of exactly bodyBytes.
func padded() []byte {
	job := emulator.JobBody(1, 10*time.Millisecond)
	return append(bytes.Repeat([]byte(" "), bodyBytes-len(job)), job...)
}

// filled returns a body of exactly bodyBytes that consists of a start, as many of the
// elements as fit, and an end.
func filled(start, element, end string) []byte {
	n := (bodyBytes - len(start) - len(end) - 1) / len(element)
	body := start + strings.Repeat(element, n) + strings.TrimSuffix(element, ",") + end
	return append([]byte(body), bytes.Repeat([]byte(" "), max(0, bodyBytes-len(body)))...)[:bodyBytes]
}

// pieces splits a request into parts.
func pieces(request []byte, count int) [][]byte {
	var out [][]byte
	for n := range count {
		out = append(out, request[len(request)*n/count:len(request)*(n+1)/count])
	}
	return out
}

func shortened(request []byte) []byte { return request[:len(request)-1] }

// TestFloodOfRequestsLeavesLimits guards against a process that takes more than the memory
// and the descriptors of its machine, ends, or serves nobody else, because many clients send
// large bodies at once, most of which don't end.
func TestFloodOfRequestsLeavesLimits(t *testing.T) {
	job := padded()
	cases := map[string][][]byte{
		"whole bodies":                          {emulator.RawRequest("POST", job)},
		"whole bodies with many steps":          {emulator.RawRequest("POST", filled(emulator.StepsStart, `{},`, emulator.StepsEnd))},
		"whole bodies with many dependencies":   {emulator.RawRequest("POST", filled(emulator.DependenciesStart, `0,`, emulator.DependenciesEnd))},
		"whole jobs with many tasks":            {emulator.RawRequest("POST", []byte(emulator.WideJobBody()))},
		"bodies one byte short":                 {shortened(emulator.RawRequest("POST", job))},
		"bodies piece by piece, one byte short": pieces(shortened(emulator.RawRequest("POST", job)), 8),
		"large chunks without an end":           {emulator.RawChunkedRequest(job, 64<<10)},
		"small chunks without an end":           {emulator.RawChunkedRequest(job, 16)},
		"chunks piece by piece without an end":  pieces(emulator.RawChunkedRequest(job, 1<<10), 8),
		"headers without an end":                {append(emulator.RawHeader("POST"), ("X: " + strings.Repeat("x", bodyBytes))...)},
		"bodies of calls that have none":        {shortened(emulator.RawRequest("GET", job))},
		"calls whose answers nobody reads":      {emulator.RawCalls(4 << 20)},
		"nothing":                               {},
	}
	binary := buildProgram(t)
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			target, err := New(binary, t.TempDir(), limits)
			must.NoError(t, err)
			defer target.Close()
			must.NoError(t, target.Serve(), must.Sprint("before the flood"))
			must.SliceEmpty(t, target.Violations(), must.Sprint("before the flood"))
			crowd := target.Send(target.Address(), connections, 50*time.Millisecond, request...)
			served := target.Serve()
			crowd.Close()
			t.Log(name, target.Usage())
			must.SliceEmpty(t, target.Violations())
			must.NoError(t, served, must.Sprint("during the flood"))
			must.NoError(t, target.Serve(), must.Sprint("after the flood"))
		})
	}
}

// TestFloodOfUnconfiguredInstance guards against an instance that has no configuration yet,
// so that it reads no body, and that a flood ends or keeps from its configuration.
func TestFloodOfUnconfiguredInstance(t *testing.T) {
	job := padded()
	cases := map[string][][]byte{
		"whole bodies":                {emulator.RawRequest("POST", job)},
		"bodies one byte short":       {shortened(emulator.RawRequest("POST", job))},
		"small chunks without an end": {emulator.RawChunkedRequest(job, 16)},
	}
	binary := buildProgram(t)
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			target, err := NewUnconfigured(binary, t.TempDir(), limits)
			must.NoError(t, err)
			defer target.Close()
			crowd := target.Send(target.Address(), connections, 50*time.Millisecond, request...)
			status, answered := target.Answer()
			crowd.Close()
			t.Log(name, target.Usage())
			must.SliceEmpty(t, target.Violations())
			must.NoError(t, answered)
			must.Eq(t, http.StatusServiceUnavailable, status)
			must.NoError(t, target.Configure())
			must.NoError(t, target.Serve())
		})
	}
}

// TestFloodLogsLittle guards against clients that fill the log: a request may cost as much
// as a short line.
func TestFloodLogsLittle(t *testing.T) {
	const bytesPerRequest = 1 << 10
	job := padded()
	cases := map[string][]byte{
		"bodies one byte short":  shortened(emulator.RawRequest("POST", job)),
		"chunks without an end":  emulator.RawChunkedRequest(job, 64<<10),
		"not a job":              emulator.RawRequest("POST", bytes.Repeat([]byte("x"), bodyBytes)),
		"long numbers":           emulator.RawRequest("POST", filled(emulator.StepsStart+`{"Count":`, `1`, "}"+emulator.StepsEnd)),
		"long paths":             emulator.RawLongPath(24 << 10),
		"headers without an end": append(emulator.RawHeader("POST"), ("X: " + strings.Repeat("x", bodyBytes))...),
	}
	binary := buildProgram(t)
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			target, err := New(binary, t.TempDir(), limits)
			must.NoError(t, err)
			defer target.Close()
			before, err := target.LogBytes()
			must.NoError(t, err)
			target.Send(target.Address(), connections, 0, request).Close()
			must.NoError(t, target.Serve())
			after, err := target.LogBytes()
			must.NoError(t, err)
			t.Log(name, (after-before)>>10, "KiB")
			must.Less(t, connections*bytesPerRequest, after-before)
		})
	}
}

// TestFloodOfOwnInterface is TestFloodOfRequestsLeavesLimits for the project's own interface.
// Its clients are more than there are descriptors.
func TestFloodOfOwnInterface(t *testing.T) {
	const crowdSize = 600
	ownLimits := Limits{MemoryMb: 256, MaxFds: 500}
	unfinished := func(call string, length, sent int) []byte {
		header := fmt.Appendf(nil, "%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", call, length)
		return append(header, bytes.Repeat([]byte(" "), sent)...)
	}
	cases := map[string][][]byte{
		"bodies that don't end":            {unfinished("POST /v1/jobs", server.MaxBodyBytes, 1<<20)},
		"bodies of calls that have none":   {unfinished("GET /v1/home", 100<<10, 100<<10-1)},
		"headers without an end":           {fmt.Appendf(nil, "GET /v1/home HTTP/1.1\r\nX: %s", strings.Repeat("x", 15<<10))},
		"calls whose answers nobody reads": {bytes.Repeat([]byte("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"), 100_000)},
		"nothing":                          {},
	}
	binary := buildProgram(t)
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			target, err := NewOwn(binary, t.TempDir(), ownLimits)
			must.NoError(t, err)
			defer target.Close()
			must.SliceEmpty(t, target.Violations(), must.Sprint("before the flood"))
			crowd := target.Send(target.Address(), crowdSize, 0, request...)
			answered := target.Answer()
			crowd.Close()
			t.Log(name, target.Usage())
			must.SliceEmpty(t, target.Violations())
			must.NoError(t, answered, must.Sprint("during the flood"))
			must.NoError(t, target.Answer(), must.Sprint("after the flood"))
		})
	}
}

// TestLargestRequestIsServedInCalm guards against limits that a client inside the pages'
// limits meets although nobody else is there.
func TestLargestRequestIsServedInCalm(t *testing.T) {
	job := padded()
	binary := buildProgram(t)
	target, err := New(binary, t.TempDir(), limits)
	must.NoError(t, err)
	defer target.Close()
	cases := map[string]func(*http.Request){
		"whole":          func(r *http.Request) { r.ContentLength = int64(len(job)) },
		"chunked":        func(r *http.Request) { r.ContentLength = -1 },
		"piece by piece": func(r *http.Request) { r.Body = &slowBody{Reader: bytes.NewReader(job)} },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			must.NoError(t, target.ServeJob(func(id string) *http.Request {
				r := emulator.NewJobRequest(target.Address(), id, 1, 10*time.Millisecond)
				r.Body, r.ContentLength = &slowBody{Reader: bytes.NewReader(job), fast: true}, int64(len(job))
				change(r)
				return r
			}))
			must.SliceEmpty(t, target.Violations())
		})
	}
}

// slowBody is a body that is sent in parts, with pauses unless it is fast.
type slowBody struct {
	*bytes.Reader
	fast bool
}

func (b *slowBody) Read(p []byte) (int, error) {
	if !b.fast {
		time.Sleep(50 * time.Millisecond)
		p = p[:min(len(p), bodyBytes/16)]
	}
	return b.Reader.Read(p)
}

func (*slowBody) Close() error { return nil }
