package flooder

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/heatherslip/heatherslip/internal/bench/faultinjector"
	"github.com/heatherslip/heatherslip/internal/bench/launcher"
	"github.com/heatherslip/heatherslip/platform"
	"github.com/heatherslip/heatherslip/platform/emulator"
)

// reservedFds is how many of the descriptors of a process the users' platform reserves for
// files.
const reservedFds = 200

// Instance is an instance on an emulated site with one failure domain. Create it with New.
type Instance struct {
	*process
	site *emulator.Site
	// store is between the instance and the site's store.
	store    *faultinjector.Relay
	address  string
	readyURL string
	// jobs counts the jobs that were sent, whose ids are derived from it.
	jobs int
}

// New starts the site and the program at the path binary, with its settings and log in
// dir, and waits until the instance is ready.
func New(binary, dir string, limits Limits) (*Instance, error) {
	i, err := NewUnconfigured(binary, dir, limits)
	if err != nil {
		return nil, err
	}
	if err := i.Configure(); err != nil {
		i.Close()
		return nil, err
	}
	return i, nil
}

// NewUnconfigured is New for an instance that can't reach the store, and so has no
// configuration, until Configure is called.
func NewUnconfigured(binary, dir string, limits Limits) (*Instance, error) {
	site, err := emulator.NewSite([]string{"a"}, 2, 3)
	if err != nil {
		return nil, err
	}
	i := &Instance{site: site}
	if i.store, err = faultinjector.NewRelay(site.StoreAddress); err != nil {
		site.Close()
		return nil, err
	}
	i.store.SetDisconnected(true)
	site.StoreAddress = i.store.Addr()
	if err := i.start(binary, dir, limits); err != nil {
		i.closeSite()
		return nil, err
	}
	if err := i.awaitReadiness(http.StatusServiceUnavailable); err != nil {
		i.Close()
		return nil, err
	}
	return i, nil
}

// Configure lets the instance reach the store, and waits until it is ready.
func (i *Instance) Configure() error {
	i.store.SetDisconnected(false)
	return i.awaitReadiness(http.StatusOK)
}

func (i *Instance) start(binary, dir string, limits Limits) error {
	// Connections between other processes have no ports on this address.
	const ip = "127.0.1.1"
	port, err := launcher.FreePort(ip)
	if err != nil {
		return err
	}
	i.address = net.JoinHostPort(ip, strconv.Itoa(port))
	i.readyURL = fmt.Sprintf("http://%s:%d%s", ip, port+1, platform.ReadyPath)
	settings := i.site.SettingsText("e0", "a", ip, port, nil) +
		fmt.Sprintf("Limits: {MemoryMb: %d, MaxFds: %d}\n", limits.MemoryMb, limits.MaxFds)
	path := filepath.Join(dir, "settings.yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	limits.MaxFds -= reservedFds // The rest is for sockets.
	i.process, err = startProcess(exec.Command(binary, "edge", "--settings", path), filepath.Join(dir, "log"), limits)
	return err
}

// Close kills the process and stops the site.
func (i *Instance) Close() {
	i.kill()
	i.closeSite()
}

func (i *Instance) closeSite() {
	i.store.Close()
	i.site.Close()
}

// awaitReadiness waits until a readiness probe is answered with a status.
func (i *Instance) awaitReadiness(status int) error {
	err := askUntil(func() *http.Request {
		request, _ := http.NewRequest(http.MethodGet, i.readyURL, nil)
		return request
	}, func(got int, _ string) bool { return got == status })
	if err != nil {
		return fmt.Errorf("wait for readiness probes with status %d: %w", status, err)
	}
	return nil
}

// Answer sends an ordinary job until it gets an answer, and returns its status.
func (i *Instance) Answer() (int, error) {
	id := i.nextID()
	status, _, err := ask(func() *http.Request { return i.ordinaryRequest(id) })
	return status, err
}

// Serve sends an ordinary job, again while it is refused or the connection ends, until it
// has succeeded.
func (i *Instance) Serve() error { return i.ServeJob(i.ordinaryRequest) }

// ServeJob is Serve for the job that newRequest submits under an id.
func (i *Instance) ServeJob(newRequest func(id string) *http.Request) error {
	id := i.nextID()
	err := askUntil(func() *http.Request { return newRequest(id) }, func(status int, body string) bool {
		return status == http.StatusOK && strings.Contains(body, "completed")
	})
	if err != nil {
		return fmt.Errorf("an ordinary job was not served: %w", err)
	}
	return nil
}

func (i *Instance) ordinaryRequest(id string) *http.Request {
	return emulator.NewJobRequest(i.address, id, 1, 10*time.Millisecond)
}

func (i *Instance) nextID() string {
	i.jobs++
	return fmt.Sprintf("%016x", i.jobs)
}

// Address is the address for clients.
func (i *Instance) Address() string { return i.address }
