package starter

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/heatherslip/heatherslip/internal/edge/recorder"
	"github.com/heatherslip/heatherslip/platform"
	"github.com/heatherslip/heatherslip/platform/emulator"
)

// testCluster is a site and some instances of it in this process.
type testCluster struct {
	site            *emulator.Site
	instances       []*Instance
	clientAddresses []string
}

func newTestCluster(t *testing.T, n int) *testCluster {
	t.Helper()
	site, err := emulator.NewSite([]string{"a", "b"}, 4, 3)
	must.NoError(t, err)
	t.Cleanup(site.Close)
	f := &testCluster{site: site}
	probe, err := net.Listen("tcp", "127.0.0.21:0")
	must.NoError(t, err)
	port := probe.Addr().(*net.TCPAddr).Port
	must.NoError(t, probe.Close())
	dir := t.TempDir()
	for i := range n {
		ip := fmt.Sprintf("127.0.0.%d", 21+i)
		path := filepath.Join(dir, fmt.Sprintf("e%d.yaml", i))
		settingsText := site.Settings(fmt.Sprintf("e%d", i), []string{"a", "b"}[i%2], ip, port, []string{"127.0.0.21"})
		must.NoError(t, os.WriteFile(path, []byte(settingsText), 0o600))
		s, err := platform.LoadSettings(path)
		must.NoError(t, err)
		logRecorder := recorder.New(io.Discard)
		instance, err := New(s, Options{Path: path}, logRecorder, zerolog.New(logRecorder))
		must.NoError(t, err)
		t.Cleanup(logRecorder.Close)
		f.instances = append(f.instances, instance)
		f.clientAddresses = append(f.clientAddresses, s.Front)
	}
	for i := range f.clientAddresses {
		f.waitUntil(t, func() bool {
			return f.requestStatus(t, emulator.Get(fmt.Sprintf("127.0.0.%d:%d", 21+i, port+1), platform.ReadyPath)) == http.StatusOK
		})
	}
	return f
}

func (f *testCluster) waitUntil(t *testing.T, done func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(done), wait.Timeout(time.Minute), wait.Gap(10*time.Millisecond)))
}

// requestStatus sends a call and returns the status of its answer; 0 where there was
// none.
func (f *testCluster) requestStatus(t *testing.T, r *http.Request) int {
	t.Helper()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	must.NoError(t, err)
	return resp.StatusCode
}

// TestConfigAndDrainUnderLoad hands jobs in at both instances, changes the configuration, and
// has an instance drain under load without cutting a call off.
func TestConfigAndDrainUnderLoad(t *testing.T) {
	f := newTestCluster(t, 2)
	const jobs = 40
	var wg sync.WaitGroup
	results := make([]int, jobs)
	for n := range jobs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[n] = f.requestStatus(t, emulator.Job(f.clientAddresses[n%2], fmt.Sprintf("%016x", n), 1+n%5, 30*time.Millisecond))
		}()
	}
	wg.Wait()
	for n, status := range results {
		if status != http.StatusOK {
			must.SliceContains(t, []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
			must.Eq(t, 0, f.site.Ledger.Started(fmt.Sprintf("%016x", n)))
		}
	}
	f.waitUntil(t, func() bool {
		return f.requestStatus(t, emulator.Job(f.clientAddresses[0], "00000000000000fe", 1, time.Millisecond)) == http.StatusOK
	})

	path := emulator.Route(f.site.Configure())
	for i := range f.clientAddresses {
		f.waitUntil(t, func() bool { return f.requestStatus(t, emulator.Get(f.clientAddresses[i], path)) == http.StatusOK })
	}

	answer := make(chan int, 1)
	go func() {
		answer <- f.requestStatus(t, emulator.Job(f.clientAddresses[0], "00000000000000ff", 2, 300*time.Millisecond))
	}()
	f.waitUntil(t, func() bool { return f.site.Ledger.Started("00000000000000ff") == 2 })
	f.instances[0].Drain()
	must.Eq(t, http.StatusOK, <-answer)
	must.SliceEmpty(t, f.site.Ledger.Twice())
	for _, i := range f.instances {
		i.Close()
	}
}
