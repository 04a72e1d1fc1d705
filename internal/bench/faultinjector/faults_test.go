//go:build faults

package faultinjector

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

const instanceCount = 3

// processFleet runs the instances of one failure domain as processes. Peers reach each
// instance through a relay.
type processFleet struct {
	// t is the current subtest; parentT is the whole test, at whose end the processes and
	// log files are cleaned up.
	t, parentT   *testing.T
	dir          string
	binary       string
	platform     *emulator.Platform
	processes    [instanceCount]*exec.Cmd
	relays       [instanceCount]*Relay
	apiAddresses [instanceCount]string
	clients      [instanceCount]*client.Client
}

// logDir returns the directory for settings and logs. Set FAULT_LOGS to a directory to
// keep them after the test.
func logDir(t *testing.T) string {
	if dir := os.Getenv("FAULT_LOGS"); dir != "" {
		return dir
	}
	return t.TempDir()
}

// freeAddress returns a loopback address whose port is currently free.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// newProcessFleet builds the program, starts the instances, publishes the first revision
// and waits until all instances are synced.
func newProcessFleet(t *testing.T) *processFleet {
	t.Helper()
	f := &processFleet{t: t, parentT: t, dir: logDir(t)}
	f.binary = filepath.Join(f.dir, "heatherslip")
	buildOutput, err := exec.Command("go", "build", "-race", "-o", f.binary, "../../../cmd/heatherslip").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(buildOutput)))
	site := emulator.AkademiaSite()
	site.Domains = []string{"radom"}
	site.Workers, site.Minions = 8, 4
	f.platform, err = emulator.New("127.0.0.1:0", site)
	must.NoError(t, err)
	t.Cleanup(f.platform.Close)
	for i := range instanceCount {
		peerAddress := freeAddress(t)
		f.apiAddresses[i] = freeAddress(t)
		f.relays[i], err = NewRelay(peerAddress)
		must.NoError(t, err)
		t.Cleanup(f.relays[i].Close)
		f.writeSettings(i, peerAddress)
		f.startInstance(i)
		f.clients[i] = client.New(f.apiAddresses[i], generator.SampleAkademiaToken, "")
	}
	f.publishFirstRevision()
	f.awaitSynced(instanceCount)
	return f
}

func (f *processFleet) writeSettings(i int, peerAddress string) {
	text := fmt.Sprintf("[instance]\nname = e%d\ndomain = radom\nlisten = %s\npeer = %s\nadvertise = %s\n[platform]\naddress = %s\n[peers]\nkey = k\n[log]\nlevel = debug\n",
		i, f.apiAddresses[i], peerAddress, f.relays[i].Addr(), f.platform.Addr())
	must.NoError(f.t, os.WriteFile(f.settingsPath(i), []byte(text), 0o600))
	f.platform.RegisterInstance(describer.ListInstance{Name: fmt.Sprint(i), PeerAddress: f.relays[i].Addr()})
}

func (f *processFleet) settingsPath(i int) string {
	return filepath.Join(f.dir, fmt.Sprintf("e%d.ini", i))
}

func (f *processFleet) startInstance(i int) {
	cmd := exec.Command(f.binary, "serve", "--settings", f.settingsPath(i))
	logFile, err := os.OpenFile(f.settingsPath(i)+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(f.t, err)
	f.parentT.Cleanup(func() { _ = logFile.Close() })
	cmd.Stdout, cmd.Stderr = logFile, logFile
	must.NoError(f.t, cmd.Start())
	f.processes[i] = cmd
	f.parentT.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
}

func (f *processFleet) signalInstance(i int, signal os.Signal) {
	must.NoError(f.t, f.processes[i].Process.Signal(signal))
}

func (f *processFleet) publishFirstRevision() {
	answers, err := generator.ParseAnswers(generator.SampleAkademia)
	must.NoError(f.t, err)
	for range 100 {
		published, err := f.clients[0].Publish(context.Background(), server.PublishBody{Text: generator.FormatConfig(generator.GenerateConfig(answers))})
		if err == nil && published.Verdict == server.PublishAccepted {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatal("the first revision was not accepted")
}

// awaitSynced waits until as many instances as members each list that number of members,
// all of them synced.
func (f *processFleet) awaitSynced(members int) {
	f.t.Helper()
	for range 600 {
		syncedInstances := 0
		for _, c := range f.clients {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			statuses, err := c.Instances(ctx)
			cancel()
			synced := err == nil && len(statuses) == members
			for _, status := range statuses {
				synced = synced && status.Synced
			}
			if synced {
				syncedInstances++
			}
		}
		if syncedInstances == members {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatalf("the fleet is not synced with %d members", members)
}

// runUnderFault submits jobs and unrepeatable requests through all instances for the given
// duration and calls injectFault after a quarter of it. Each submission is sent twice with
// the same key, through different instances: final answers must be equal, and nothing may
// run twice.
func (f *processFleet) runUnderFault(duration time.Duration, injectFault func()) {
	f.t.Helper()
	type submission struct {
		key          namer.Key
		firstAnswer  coder.Answer
		secondAnswer coder.Answer
	}
	var mu sync.Mutex
	var submissions []submission
	var wg sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	wg.Add(1)
	go func() {
		defer wg.Done()
		time.Sleep(duration / 4)
		injectFault()
	}()
	for n, startedAt := 0, time.Now(); time.Since(startedAt) < duration; n++ {
		key, err := namer.NewKey("radom")
		must.NoError(f.t, err)
		wg.Add(1)
		go func() {
			defer wg.Done()
			sub := submission{key: key}
			sub.firstAnswer, _ = f.submit(ctx, n, n, key)
			sub.secondAnswer, _ = f.submit(ctx, n+1, n, key)
			mu.Lock()
			submissions = append(submissions, sub)
			mu.Unlock()
		}()
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	doneCount := 0
	firstAnswerCounts := make(map[string]int)
	for _, sub := range submissions {
		firstAnswerCounts[string(sub.firstAnswer.Status)+" "+string(sub.firstAnswer.Code)]++
		if sub.firstAnswer.Status.IsTerminal() && sub.secondAnswer.Status.IsTerminal() {
			must.Eq(f.t, sub.firstAnswer, sub.secondAnswer, must.Sprintf("different final answers for %s", sub.key))
		}
		if sub.secondAnswer.Status == coder.StatusDone {
			doneCount++
		}
	}
	stats := f.platform.Stats()
	must.Eq(f.t, 0, stats.DuplicateStarts, must.Sprint("tasks that started twice"))
	must.Eq(f.t, 0, stats.Minions.DuplicateRuns, must.Sprint("unrepeatable requests that ran twice"))
	must.Positive(f.t, doneCount)
	f.t.Logf("%d submissions, %d done on the second call; first answers: %v", len(submissions), doneCount, firstAnswerCounts)
}

// submit sends a job or an unrepeatable request, depending on the submission's number.
func (f *processFleet) submit(ctx context.Context, instance, number int, key namer.Key) (coder.Answer, error) {
	c := f.clients[instance%instanceCount]
	ctx, cancel := context.WithTimeout(ctx, 12*time.Second)
	defer cancel()
	if number%4 < 2 {
		return c.Submit(ctx, server.JobBody{Key: key, Kind: "exercise", WaitForResult: true, DeadlineMillis: 8000, Tasks: []coder.TaskSpec{
			{Cores: 100, Memory: 1, Payload: "run=150ms"}, {Cores: 100, Memory: 1, Payload: "run=50ms"},
		}})
	}
	return c.Request(ctx, "materialy-zajec", key, server.RequestBody{Kind: "marking", Payload: "run=80ms", DeadlineMillis: 8000})
}

// TestProcessesUnderFaults guards against lost, duplicated or contradictory results when
// real processes and their connections fail.
func TestProcessesUnderFaults(t *testing.T) {
	f := newProcessFleet(t)
	t.Run("kill -9 and restart", func(t *testing.T) {
		f.t = t
		f.runUnderFault(3*time.Second, func() { f.signalInstance(0, syscall.SIGKILL) })
		_ = f.processes[0].Wait()
		f.awaitSynced(instanceCount - 1)
		f.startInstance(0)
		f.awaitSynced(instanceCount)
	})
	t.Run("SIGSTOP, then SIGCONT", func(t *testing.T) {
		f.t = t
		f.runUnderFault(5*time.Second, func() {
			f.signalInstance(1, syscall.SIGSTOP)
			time.Sleep(4 * time.Second)
			f.signalInstance(1, syscall.SIGCONT)
		})
		f.awaitSynced(instanceCount)
	})
	t.Run("peer connections closed and refused", func(t *testing.T) {
		f.t = t
		f.runUnderFault(5*time.Second, func() {
			f.relays[2].SetDisconnected(true)
			time.Sleep(3 * time.Second)
			f.relays[2].SetDisconnected(false)
		})
		f.awaitSynced(instanceCount)
	})
	t.Run("log unavailable, then kill -9", func(t *testing.T) {
		f.t = t
		f.runUnderFault(6*time.Second, func() {
			f.platform.SetFaults(emulator.FaultBody{Name: "log", Log: &emulator.LogFaults{Unavailable: true}})
			time.Sleep(time.Second)
			f.signalInstance(0, syscall.SIGKILL)
			time.Sleep(3 * time.Second)
			f.platform.SetFaults(emulator.FaultBody{Name: "log", Log: &emulator.LogFaults{DelayMillis: 5}})
		})
		_ = f.processes[0].Wait()
		f.awaitSynced(instanceCount - 1)
		f.startInstance(0)
		f.awaitSynced(instanceCount)
	})
	t.Run("graceful shutdown by SIGTERM", func(t *testing.T) {
		f.t = t
		f.runUnderFault(3*time.Second, func() { f.signalInstance(2, syscall.SIGTERM) })
		must.NoError(t, f.processes[2].Wait(), must.Sprint("exit status after SIGTERM"))
		f.awaitSynced(instanceCount - 1)
	})
}
