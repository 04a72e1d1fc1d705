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

// knownKeys are the keys of each section.
var knownKeys = map[string][]string{
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
	c := settingsReader{file: file, path: path}
	c.checkUnknownKeys()
	s := c.readSettings()
	if len(c.findings) > 0 {
		return nil, c.findings
	}
	return s, nil
}

type settingsReader struct {
	file     *ini.File
	path     string
	findings Findings
}

func (c *settingsReader) addFinding(section, key, problem string) {
	c.findings = append(c.findings, Finding{c.path, section, key, problem})
}

func (c *settingsReader) checkUnknownKeys() {
	for _, s := range c.file.Sections() {
		known, found := knownKeys[s.Name()]
		if !found && (s.Name() != ini.DefaultSection || len(s.Keys()) > 0) {
			c.addFinding(s.Name(), "", "unknown section")
			continue
		}
		for _, k := range s.Keys() {
			if !slices.Contains(known, k.Name()) {
				c.addFinding(s.Name(), k.Name(), "unknown key")
			}
		}
	}
}

func (c *settingsReader) readSettings() *Settings {
	s := &Settings{
		Name:     c.readName("instance", "name"),
		Domain:   namer.Domain(c.readName("instance", "domain")),
		Region:   namer.Region(c.readValue("instance", "region")),
		Listen:   c.readAddress("instance", "listen"),
		Peer:     c.readAddress("instance", "peer"),
		Platform: c.readAddress("platform", "address"),
		PeerKey:  c.readValue("peers", "key"),
		Mode:     c.readMode(),
		Level:    c.readLevel(),
		TLS:      c.readTLS(),
	}
	if s.Advertise = c.readValue("instance", "advertise"); s.Advertise != "" {
		s.Advertise = c.readAddress("instance", "advertise")
	}
	for _, seed := range c.file.Section("peers").Key("seeds").Strings(",") {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			c.addFinding("peers", "seeds", fmt.Sprintf("%q is not an IP number and a port", seed))
			continue
		}
		s.Seeds = append(s.Seeds, seed)
	}
	return s
}

func (c *settingsReader) readValue(section, key string) string {
	return c.file.Section(section).Key(key).String()
}

func (c *settingsReader) readName(section, key string) string {
	v := c.readValue(section, key)
	if v == "" {
		c.addFinding(section, key, "is missing")
	}
	if strings.ContainsAny(v, "/ ,") {
		c.addFinding(section, key, "has a slash, a space or a comma")
	}
	return v
}

func (c *settingsReader) readAddress(section, key string) string {
	v := c.readValue(section, key)
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.addFinding(section, key, "is not an IP number and a port")
	}
	return v
}

func (c *settingsReader) readMode() string {
	mode := c.file.Section("instance").Key("mode").MustString("heir")
	if mode != "heir" && mode != "log" {
		c.addFinding("instance", "mode", "is neither heir nor log")
	}
	return mode
}

func (c *settingsReader) readLevel() zerolog.Level {
	level, err := zerolog.ParseLevel(c.file.Section("log").Key("level").MustString("info"))
	if err != nil {
		c.addFinding("log", "level", "is no level; take debug, info, warn or error")
	}
	return level
}

// readTLS reads the certificates with which instances know one another. Either
// all three files are named or none.
func (c *settingsReader) readTLS() *tls.Config {
	cert, key, ca := c.readValue("tls", "cert"), c.readValue("tls", "key"), c.readValue("tls", "ca")
	if cert == "" && key == "" && ca == "" {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		c.addFinding("tls", "cert", err.Error())
	}
	pem, err := os.ReadFile(ca)
	if err != nil {
		c.addFinding("tls", "ca", err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		c.addFinding("tls", "ca", "holds no certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert,
		MinVersion: tls.VersionTLS13,
	}
}
