package linker

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// watcher passes on what a Linker tells.
type watcher struct {
	up      chan coder.Member
	down    chan namer.Incarnation
	got     chan *coder.Message
	refused chan error
}

func newWatcher() *watcher {
	return &watcher{
		up: make(chan coder.Member, 100), down: make(chan namer.Incarnation, 100),
		got: make(chan *coder.Message, 100), refused: make(chan error, 100),
	}
}

func (w *watcher) LinkUp(m coder.Member)                         { w.up <- m }
func (w *watcher) LinkDown(i namer.Incarnation)                  { w.down <- i }
func (w *watcher) Receive(_ namer.Incarnation, m *coder.Message) { w.got <- m }
func (w *watcher) LinkRefused(_ string, err error) {
	select {
	case w.refused <- err:
	default:
	}
}

// host is a Linker behind a listener.
type host struct {
	*Linker
	*watcher
	addr string
}

func newHost(t *testing.T, name, key string, config *tls.Config) *host {
	t.Helper()
	w := newWatcher()
	s := httptest.NewUnstartedServer(nil)
	addr := s.Listener.Addr().String()
	l := New(Options{Self: coder.Member{Incarnation: namer.Incarnation(name), Peer: addr}, Key: key, TLS: config, Handler: w})
	s.Config.Handler = l
	if config != nil {
		s.TLS = config
		s.StartTLS()
	} else {
		s.Start()
	}
	t.Cleanup(func() {
		l.Close()
		s.Close()
	})
	return &host{Linker: l, watcher: w, addr: addr}
}

func TestLinkCarriesMessages(t *testing.T) {
	for name, config := range map[string]*tls.Config{"plain": nil, "TLS": selfSigned(t)} {
		t.Run(name, func(t *testing.T) {
			a, b := newHost(t, "a", "k", config), newHost(t, "b", "k", config)
			a.SetPeers([]string{b.addr, a.addr, ""})
			must.Eq(t, namer.Incarnation("b"), (<-a.watcher.up).Incarnation)
			a.Send("b", &coder.Message{Ack: &coder.Ack{Seq: 7}})
			must.Eq(t, uint64(7), (<-b.got).Ack.Seq)
			b.Rename(coder.Member{Incarnation: "b2", Peer: b.addr})
			must.Eq(t, namer.Incarnation("b"), <-a.down)
			must.Eq(t, namer.Incarnation("b2"), (<-a.watcher.up).Incarnation)
		})
	}
}

func TestLinkIsRefused(t *testing.T) {
	cases := map[string]func(t *testing.T, b *host) error{
		"another key": func(t *testing.T, b *host) error {
			a := newHost(t, "a", "other", nil)
			a.SetPeers([]string{b.addr})
			return <-b.refused
		},
		"another version": func(t *testing.T, b *host) error {
			say(t, b, &coder.Message{Hello: &coder.Hello{Version: coder.Version + 1}})
			return <-b.refused
		},
		"no hello": func(t *testing.T, b *host) error {
			say(t, b, &coder.Message{Ack: &coder.Ack{}})
			return <-b.refused
		},
		"no certificate": func(t *testing.T, _ *host) error {
			b := newHost(t, "b", "k", selfSigned(t))
			a := newHost(t, "a", "k", nil)
			a.SetPeers([]string{b.addr})
			return <-a.refused
		},
	}
	for name, refused := range cases {
		t.Run(name, func(t *testing.T) {
			must.Error(t, refused(t, newHost(t, "b", "k", nil)))
		})
	}
}

// say dials a host and sends one message.
func say(t *testing.T, b *host, m *coder.Message) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	header := http.Header{}
	header.Set(keyHeader, "k")
	conn, resp, err := websocket.Dial(ctx, "ws://"+b.addr+Path, &websocket.DialOptions{HTTPHeader: header})
	must.NoError(t, err)
	if resp.Body != nil {
		defer resp.Body.Close()
	}
	defer conn.CloseNow()
	encoded, err := coder.EncodeMessage(m)
	must.NoError(t, err)
	must.NoError(t, conn.Write(ctx, websocket.MessageBinary, encoded))
	_, _, err = conn.Read(ctx)
	must.Error(t, err)
}

// selfSigned makes a certificate for the loopback address that both sides
// trust and show.
func selfSigned(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
