//go:build faults

package breaker

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/cli/client"
	"github.com/heatherslip/heatherslip/internal/config/generator"
	"github.com/heatherslip/heatherslip/internal/edge/server"
	"github.com/heatherslip/heatherslip/internal/standin/emulator"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/describer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const instances = 3

// rig runs three instances of one domain as processes, their links relayed.
type rig struct {
	// t is the running subtest, and whole the test that it is part of.
	t, whole *testing.T
	dir      string
	binary   string
	platform *emulator.Platform
	procs    [instances]*exec.Cmd
	relays   [instances]*Relay
	api      [instances]string
	clients  [instances]*client.Client
}

// logDir is kept for reading where FAULT_LOGS names it.
func logDir(t *testing.T) string {
	if dir := os.Getenv("FAULT_LOGS"); dir != "" {
		return dir
	}
	return t.TempDir()
}

func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, whole: t, dir: logDir(t)}
	r.binary = filepath.Join(r.dir, "heatherslip")
	out, err := exec.Command("go", "build", "-race", "-o", r.binary, "../../../cmd/heatherslip").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	site := emulator.AkademiaSite()
	site.Domains = []string{"radom"}
	site.Workers, site.Minions = 8, 4
	r.platform, err = emulator.New("127.0.0.1:0", site)
	must.NoError(t, err)
	t.Cleanup(r.platform.Close)
	for i := range instances {
		peer := freeAddr(t)
		r.api[i] = freeAddr(t)
		r.relays[i], err = NewRelay(peer)
		must.NoError(t, err)
		t.Cleanup(r.relays[i].Close)
		r.settings(i, peer)
		r.start(i)
		r.clients[i] = client.New(r.api[i], generator.SampleAkademiaToken, "")
	}
	r.publish()
	r.await(instances)
	return r
}

func (r *rig) settings(i int, peer string) {
	text := fmt.Sprintf("[instance]\nname = e%d\ndomain = radom\nlisten = %s\npeer = %s\nadvertise = %s\n[platform]\naddress = %s\n[peers]\nkey = k\n[log]\nlevel = debug\n",
		i, r.api[i], peer, r.relays[i].Addr(), r.platform.Addr())
	must.NoError(r.t, os.WriteFile(r.file(i), []byte(text), 0o600))
	r.platform.Register(describer.ListInstance{Name: fmt.Sprint(i), Peer: r.relays[i].Addr()})
}

func (r *rig) file(i int) string { return filepath.Join(r.dir, fmt.Sprintf("e%d.ini", i)) }

func (r *rig) start(i int) {
	cmd := exec.Command(r.binary, "serve", "--settings", r.file(i))
	log, err := os.OpenFile(r.file(i)+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(r.t, err)
	r.whole.Cleanup(func() { _ = log.Close() })
	cmd.Stdout, cmd.Stderr = log, log
	must.NoError(r.t, cmd.Start())
	r.procs[i] = cmd
	r.whole.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
}

func (r *rig) signal(i int, s os.Signal) { must.NoError(r.t, r.procs[i].Process.Signal(s)) }

func (r *rig) publish() {
	answers, err := generator.Read(generator.SampleAkademia)
	must.NoError(r.t, err)
	for range 100 {
		p, err := r.clients[0].Publish(context.Background(), server.PublishBody{Text: generator.Text(generator.Generate(answers))})
		if err == nil && p.Verdict == server.Accepted {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.t.Fatal("the first revision was not accepted")
}

// await waits until every instance that answers sees n settled members.
func (r *rig) await(n int) {
	r.t.Helper()
	for range 600 {
		good := 0
		for _, c := range r.clients {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			lines, err := c.Instances(ctx)
			cancel()
			settled := err == nil && len(lines) == n
			for _, l := range lines {
				settled = settled && l.Settled
			}
			if settled {
				good++
			}
		}
		if good == n {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.t.Fatalf("the fleet has not settled at %d members", n)
}

// storm submits jobs and markings through all instances while break_ happens,
// each twice, and looks at what came back.
func (r *rig) storm(length time.Duration, strike func()) {
	r.t.Helper()
	type asked struct {
		key    namer.Key
		first  coder.Answer
		second coder.Answer
	}
	var mu sync.Mutex
	var all []asked
	var wg sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	wg.Add(1)
	go func() {
		defer wg.Done()
		time.Sleep(length / 4)
		strike()
	}()
	for n, began := 0, time.Now(); time.Since(began) < length; n++ {
		key, err := namer.NewKey("radom")
		must.NoError(r.t, err)
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := asked{key: key}
			a.first, _ = r.ask(ctx, n, n, key)
			a.second, _ = r.ask(ctx, n+1, n, key)
			mu.Lock()
			all = append(all, a)
			mu.Unlock()
		}()
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	done := 0
	codes := make(map[string]int)
	for _, a := range all {
		codes[string(a.first.Status)+" "+string(a.first.Code)]++
		if a.first.Status.Terminal() && a.second.Status.Terminal() {
			must.Eq(r.t, a.first, a.second, must.Sprintf("two answers for %s", a.key))
		}
		if a.second.Status == coder.Done {
			done++
		}
	}
	stats := r.platform.Stats()
	must.Eq(r.t, 0, stats.Doubles, must.Sprint("tasks started twice"))
	must.Eq(r.t, 0, stats.Minions.Doubles, must.Sprint("requests ran twice"))
	must.Positive(r.t, done)
	r.t.Logf("%d submissions, %d done in the end; first answers %v", len(all), done, codes)
}

func (r *rig) ask(ctx context.Context, at, n int, key namer.Key) (coder.Answer, error) {
	c := r.clients[at%instances]
	ctx, cancel := context.WithTimeout(ctx, 12*time.Second)
	defer cancel()
	if n%4 < 2 {
		return c.Submit(ctx, server.JobBody{Key: key, Kind: "exercise", Wait: true, DeadlineMillis: 8000, Tasks: []coder.TaskSpec{
			{Cores: 100, Memory: 1, Payload: "run=150ms"}, {Cores: 100, Memory: 1, Payload: "run=50ms"},
		}})
	}
	return c.Request(ctx, "materialy-zajec", key, server.RequestBody{Kind: "marking", Payload: "run=80ms", DeadlineMillis: 8000})
}

func TestProcessesUnderFaults(t *testing.T) {
	r := newRig(t)
	t.Run("kill -9 and restart", func(t *testing.T) {
		r.t = t
		r.storm(3*time.Second, func() { r.signal(0, syscall.SIGKILL) })
		_ = r.procs[0].Wait()
		r.await(instances - 1)
		r.start(0)
		r.await(instances)
	})
	t.Run("stop and go on", func(t *testing.T) {
		r.t = t
		r.storm(5*time.Second, func() {
			r.signal(1, syscall.SIGSTOP)
			time.Sleep(4 * time.Second)
			r.signal(1, syscall.SIGCONT)
		})
		r.await(instances)
	})
	t.Run("connections cut", func(t *testing.T) {
		r.t = t
		r.storm(5*time.Second, func() {
			r.relays[2].Cut(true)
			time.Sleep(3 * time.Second)
			r.relays[2].Cut(false)
		})
		r.await(instances)
	})
	t.Run("log down, kill -9", func(t *testing.T) {
		r.t = t
		r.storm(6*time.Second, func() {
			r.platform.SetFaults(emulator.FaultBody{Name: "log", Log: &emulator.LogFaults{Down: true}})
			time.Sleep(time.Second)
			r.signal(0, syscall.SIGKILL)
			time.Sleep(3 * time.Second)
			r.platform.SetFaults(emulator.FaultBody{Name: "log", Log: &emulator.LogFaults{DelayMillis: 5}})
		})
		_ = r.procs[0].Wait()
		r.await(instances - 1)
		r.start(0)
		r.await(instances)
	})
	t.Run("graceful stop", func(t *testing.T) {
		r.t = t
		r.storm(3*time.Second, func() { r.signal(2, syscall.SIGTERM) })
		must.NoError(t, r.procs[2].Wait(), must.Sprint("a graceful stop ends well"))
		r.await(instances - 1)
	})
}
