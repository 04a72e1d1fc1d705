package flooder

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"

	"github.com/heatherslip/heatherslip/internal/bench/launcher"
	"github.com/heatherslip/heatherslip/internal/standin/emulator"
)

// OwnInstance is an instance with the project's own interface, without a configuration.
// Create it with NewOwn.
type OwnInstance struct {
	*process
	standin *emulator.Platform
	address string
}

// NewOwn starts the stand-in of the log and the program at the path binary, with its settings
// and log in dir, and waits until the instance answers. The operating system enforces the
// limit on descriptors.
func NewOwn(binary, dir string, limits Limits) (*OwnInstance, error) {
	site := emulator.AkademiaSite()
	site.Workers, site.Minions = 1, 1
	standin, err := emulator.New("127.0.0.1:0", site)
	if err != nil {
		return nil, err
	}
	i := &OwnInstance{standin: standin}
	if err := i.start(binary, dir, limits); err != nil {
		standin.Close()
		return nil, err
	}
	if err := i.Answer(); err != nil {
		i.Close()
		return nil, err
	}
	return i, nil
}

func (i *OwnInstance) start(binary, dir string, limits Limits) error {
	const ip = "127.0.1.1"
	port, err := launcher.FreePort(ip)
	if err != nil {
		return err
	}
	i.address = net.JoinHostPort(ip, strconv.Itoa(port))
	settings := fmt.Sprintf("[instance]\nname = e0\ndomain = radom\nlisten = %s\npeer = %s:0\n[platform]\naddress = %s\n[peers]\nkey = k\n", i.address, ip, i.standin.Addr())
	path := filepath.Join(dir, "settings.ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	script := fmt.Sprintf("ulimit -n %d; exec %q serve --settings %q", limits.MaxFds, binary, path)
	i.process, err = startProcess(exec.Command("sh", "-c", script), filepath.Join(dir, "log"), limits)
	return err
}

// Close kills the process and stops the stand-in.
func (i *OwnInstance) Close() {
	i.kill()
	i.standin.Close()
}

// Answer asks whether the instance is alive until it says so.
func (i *OwnInstance) Answer() error {
	err := askUntil(func() *http.Request {
		request, _ := http.NewRequest(http.MethodGet, "http://"+i.address+"/healthz", nil)
		return request
	}, func(status int, _ string) bool { return status == http.StatusOK })
	if err != nil {
		return fmt.Errorf("ask whether the instance is alive: %w", err)
	}
	return nil
}

// Address is the address for clients.
func (i *OwnInstance) Address() string { return i.address }
