// Package settingsloader reads and validates the local settings of an instance. It
// reports all problems at once, each with its file, section and key.
package settingsloader

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

// Settings contains the local settings of one entry instance.
type Settings struct {
	Name   string
	Domain namer.Domain
	Region namer.Region
	// ListenAddress is the address on which calls are served: an IP address and a port.
	ListenAddress string
	// PeerListenAddress is the address on which links from other instances are accepted: an
	// IP address and a port.
	PeerListenAddress string
	// AdvertisedPeerAddress is the address on which other instances reach this one, if it
	// differs from the one on which it listens for links.
	AdvertisedPeerAddress string
	PlatformAddress       string
	SeedAddresses         []string
	PeerKey               string
	// TLS is nil if links are not encrypted.
	TLS      *tls.Config
	LogLevel zerolog.Level
	// Mode is "heir" if the successor acknowledges each submission, or "log" if
	// submissions are claimed in the log.
	Mode string
}

// Finding is a problem in a settings file.
type Finding struct {
	File, Section, Key, Problem string
}

func (f Finding) String() string {
	return fmt.Sprintf("%s: [%s] %s: %s", f.File, f.Section, f.Key, f.Problem)
}

// Findings is the list of all problems in a settings file.
type Findings []Finding

func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// knownKeys lists the valid keys of each section.
var knownKeys = map[string][]string{
	"instance": {"name", "domain", "region", "listen", "peer", "advertise", "mode"},
	"platform": {"address"},
	"peers":    {"seeds", "key"},
	"tls":      {"cert", "key", "ca"},
	"log":      {"level"},
}

// Load reads a settings file. The error is the Findings of the whole file.
func Load(path string) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, path)
	if err != nil {
		return nil, Findings{{File: path, Problem: err.Error()}}
	}
	r := settingsReader{file: file, path: path}
	r.checkUnknownKeys()
	s := r.readSettings()
	if len(r.findings) > 0 {
		return nil, r.findings
	}
	return s, nil
}

type settingsReader struct {
	file     *ini.File
	path     string
	findings Findings
}

func (r *settingsReader) addFinding(section, key, problem string) {
	r.findings = append(r.findings, Finding{r.path, section, key, problem})
}

func (r *settingsReader) checkUnknownKeys() {
	for _, s := range r.file.Sections() {
		known, found := knownKeys[s.Name()]
		if !found && (s.Name() != ini.DefaultSection || len(s.Keys()) > 0) {
			r.addFinding(s.Name(), "", "unknown section")
			continue
		}
		for _, k := range s.Keys() {
			if !slices.Contains(known, k.Name()) {
				r.addFinding(s.Name(), k.Name(), "unknown key")
			}
		}
	}
}

func (r *settingsReader) readSettings() *Settings {
	s := &Settings{
		Name:              r.readName("instance", "name"),
		Domain:            namer.Domain(r.readName("instance", "domain")),
		Region:            namer.Region(r.readValue("instance", "region")),
		ListenAddress:     r.readAddress("instance", "listen"),
		PeerListenAddress: r.readAddress("instance", "peer"),
		PlatformAddress:   r.readAddress("platform", "address"),
		PeerKey:           r.readValue("peers", "key"),
		Mode:              r.readMode(),
		LogLevel:          r.readLevel(),
		TLS:               r.readTLS(),
	}
	if s.AdvertisedPeerAddress = r.readValue("instance", "advertise"); s.AdvertisedPeerAddress != "" {
		s.AdvertisedPeerAddress = r.readAddress("instance", "advertise")
	}
	for _, seed := range r.file.Section("peers").Key("seeds").Strings(",") {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			r.addFinding("peers", "seeds", fmt.Sprintf("%q is not an IP number and a port", seed))
			continue
		}
		s.SeedAddresses = append(s.SeedAddresses, seed)
	}
	return s
}

func (r *settingsReader) readValue(section, key string) string {
	return r.file.Section(section).Key(key).String()
}

// readName reads a required value and adds a finding if it is empty or contains a
// slash, a space or a comma.
func (r *settingsReader) readName(section, key string) string {
	v := r.readValue(section, key)
	if v == "" {
		r.addFinding(section, key, "is missing")
	}
	if strings.ContainsAny(v, "/ ,") {
		r.addFinding(section, key, "contains a slash, a space or a comma")
	}
	return v
}

func (r *settingsReader) readAddress(section, key string) string {
	v := r.readValue(section, key)
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.addFinding(section, key, "is not an IP number and a port")
	}
	return v
}

func (r *settingsReader) readMode() string {
	mode := r.file.Section("instance").Key("mode").MustString("heir")
	if mode != "heir" && mode != "log" {
		r.addFinding("instance", "mode", "is neither heir nor log")
	}
	return mode
}

func (r *settingsReader) readLevel() zerolog.Level {
	level, err := zerolog.ParseLevel(r.file.Section("log").Key("level").MustString("info"))
	if err != nil {
		r.addFinding("log", "level", "is not a log level; use debug, info, warn or error")
	}
	return level
}

// readTLS reads the certificates with which instances authenticate each other.
// Either all three files are set or none.
func (r *settingsReader) readTLS() *tls.Config {
	cert, key, ca := r.readValue("tls", "cert"), r.readValue("tls", "key"), r.readValue("tls", "ca")
	if cert == "" && key == "" && ca == "" {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		r.addFinding("tls", "cert", err.Error())
	}
	pem, err := os.ReadFile(ca)
	if err != nil {
		r.addFinding("tls", "ca", err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		r.addFinding("tls", "ca", "contains no certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert,
		MinVersion: tls.VersionTLS13,
	}
}
