// Package checker reads an instance's local settings and reports everything
// that is wrong with them at once, each finding with its file, section and key.
package checker

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"

	"github.com/rs/zerolog"
	"gopkg.in/ini.v1"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Settings are the local settings of one entry instance.
type Settings struct {
	Name   string
	Domain namer.Domain
	Region namer.Region
	// Listen is where callers are served, Peer where links are taken; both
	// are IP numbers with ports.
	Listen string
	Peer   string
	// Advertise is where peers reach Peer, where that is another address.
	Advertise string
	Platform  string
	Seeds     []string
	PeerKey   string
	// TLS is nil where links are not encrypted.
	TLS   *tls.Config
	Level zerolog.Level
	// Mode is "heir" or "log".
	Mode string
}

// Finding is one thing wrong with the settings.
type Finding struct {
	File, Section, Key, Problem string
}

func (f Finding) String() string {
	return fmt.Sprintf("%s: [%s] %s: %s", f.File, f.Section, f.Key, f.Problem)
}

// Findings collects everything that is wrong with a file.
type Findings []Finding

func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// keys are the keys of each section.
var keys = map[string][]string{
	"instance": {"name", "domain", "region", "listen", "peer", "advertise", "mode"},
	"platform": {"address"},
	"peers":    {"seeds", "key"},
	"tls":      {"cert", "key", "ca"},
	"log":      {"level"},
}

// Check reads the settings in a file. Its error is Findings, all of them.
func Check(path string) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, path)
	if err != nil {
		return nil, Findings{{File: path, Problem: err.Error()}}
	}
	c := check{file: file, path: path}
	c.unknown()
	s := c.settings()
	if len(c.findings) > 0 {
		return nil, c.findings
	}
	return s, nil
}

type check struct {
	file     *ini.File
	path     string
	findings Findings
}

func (c *check) find(section, key, problem string) {
	c.findings = append(c.findings, Finding{c.path, section, key, problem})
}

func (c *check) unknown() {
	for _, s := range c.file.Sections() {
		known, found := keys[s.Name()]
		if !found && (s.Name() != ini.DefaultSection || len(s.Keys()) > 0) {
			c.find(s.Name(), "", "unknown section")
			continue
		}
		for _, k := range s.Keys() {
			if !slices.Contains(known, k.Name()) {
				c.find(s.Name(), k.Name(), "unknown key")
			}
		}
	}
}

func (c *check) settings() *Settings {
	s := &Settings{
		Name:     c.text("instance", "name"),
		Domain:   namer.Domain(c.text("instance", "domain")),
		Region:   namer.Region(c.value("instance", "region")),
		Listen:   c.address("instance", "listen"),
		Peer:     c.address("instance", "peer"),
		Platform: c.address("platform", "address"),
		PeerKey:  c.value("peers", "key"),
		Mode:     c.mode(),
		Level:    c.level(),
		TLS:      c.tls(),
	}
	if s.Advertise = c.value("instance", "advertise"); s.Advertise != "" {
		s.Advertise = c.address("instance", "advertise")
	}
	for _, seed := range c.file.Section("peers").Key("seeds").Strings(",") {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			c.find("peers", "seeds", fmt.Sprintf("%q is not an IP number and a port", seed))
			continue
		}
		s.Seeds = append(s.Seeds, seed)
	}
	return s
}

func (c *check) value(section, key string) string {
	return c.file.Section(section).Key(key).String()
}

func (c *check) text(section, key string) string {
	v := c.value(section, key)
	if v == "" {
		c.find(section, key, "is missing")
	}
	if strings.ContainsAny(v, "/ ,") {
		c.find(section, key, "has a slash, a space or a comma")
	}
	return v
}

func (c *check) address(section, key string) string {
	v := c.value(section, key)
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.find(section, key, "is not an IP number and a port")
	}
	return v
}

func (c *check) mode() string {
	mode := c.file.Section("instance").Key("mode").MustString("heir")
	if mode != "heir" && mode != "log" {
		c.find("instance", "mode", "is neither heir nor log")
	}
	return mode
}

func (c *check) level() zerolog.Level {
	level, err := zerolog.ParseLevel(c.file.Section("log").Key("level").MustString("info"))
	if err != nil {
		c.find("log", "level", "is no level; take debug, info, warn or error")
	}
	return level
}

// tls reads the certificates with which instances know one another. Either
// all three files are named or none.
func (c *check) tls() *tls.Config {
	cert, key, ca := c.value("tls", "cert"), c.value("tls", "key"), c.value("tls", "ca")
	if cert == "" && key == "" && ca == "" {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		c.find("tls", "cert", err.Error())
	}
	pem, err := os.ReadFile(ca)
	if err != nil {
		c.find("tls", "ca", err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		c.find("tls", "ca", "holds no certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert,
		MinVersion: tls.VersionTLS13,
	}
}
