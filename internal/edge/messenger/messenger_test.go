package messenger

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

// recordingHandler is a Handler that sends the events of a Messenger to channels.
type recordingHandler struct {
	up       chan coder.Member
	down     chan namer.Incarnation
	messages chan *coder.Message
	refused  chan error
}

func newRecordingHandler() *recordingHandler {
	return &recordingHandler{
		up: make(chan coder.Member, 100), down: make(chan namer.Incarnation, 100),
		messages: make(chan *coder.Message, 100), refused: make(chan error, 100),
	}
}

func (h *recordingHandler) LinkUp(m coder.Member)                               { h.up <- m }
func (h *recordingHandler) LinkDown(i namer.Incarnation)                        { h.down <- i }
func (h *recordingHandler) HandleMessage(_ namer.Incarnation, m *coder.Message) { h.messages <- m }
func (h *recordingHandler) LinkRefused(_ string, err error) {
	select {
	case h.refused <- err:
	default:
	}
}

// listeningMessenger is a Messenger that serves peers on a loopback address.
type listeningMessenger struct {
	*Messenger
	*recordingHandler
	addr string
}

func newListeningMessenger(t *testing.T, name, key string, config *tls.Config) *listeningMessenger {
	t.Helper()
	handler := newRecordingHandler()
	s := httptest.NewUnstartedServer(nil)
	addr := s.Listener.Addr().String()
	m := New(Options{Self: coder.Member{Incarnation: namer.Incarnation(name), PeerAddress: addr}, Key: key, TLS: config, Handler: handler})
	s.Config.Handler = m
	if config != nil {
		s.TLS = config
		s.StartTLS()
	} else {
		s.Start()
	}
	t.Cleanup(func() {
		m.Close()
		s.Close()
	})
	return &listeningMessenger{Messenger: m, recordingHandler: handler, addr: addr}
}

// TestLinkCarriesMessages guards against a link that does not deliver messages,
// or that does not reconnect when the peer changes its incarnation.
func TestLinkCarriesMessages(t *testing.T) {
	for name, config := range map[string]*tls.Config{"plain": nil, "TLS": selfSigned(t)} {
		t.Run(name, func(t *testing.T) {
			a, b := newListeningMessenger(t, "a", "k", config), newListeningMessenger(t, "b", "k", config)
			a.SetPeers([]string{b.addr, a.addr, ""})
			must.Eq(t, namer.Incarnation("b"), (<-a.recordingHandler.up).Incarnation)
			a.Send("b", &coder.Message{Ack: &coder.Ack{Seq: 7}})
			must.Eq(t, uint64(7), (<-b.messages).Ack.Seq)
			b.SwitchIncarnation(coder.Member{Incarnation: "b2", PeerAddress: b.addr})
			must.Eq(t, namer.Incarnation("b"), <-a.down)
			must.Eq(t, namer.Incarnation("b2"), (<-a.recordingHandler.up).Incarnation)
		})
	}
}

// TestLinkIsRefused guards against accepting a peer that has a wrong key or
// protocol version, does not start with a hello, or does not use TLS.
func TestLinkIsRefused(t *testing.T) {
	cases := map[string]func(t *testing.T, b *listeningMessenger) error{
		"wrong key": func(t *testing.T, b *listeningMessenger) error {
			a := newListeningMessenger(t, "a", "other", nil)
			a.SetPeers([]string{b.addr})
			return <-b.refused
		},
		"other protocol version": func(t *testing.T, b *listeningMessenger) error {
			dialAndSend(t, b, &coder.Message{Hello: &coder.Hello{Version: coder.Version + 1}})
			return <-b.refused
		},
		"first message is not a hello": func(t *testing.T, b *listeningMessenger) error {
			dialAndSend(t, b, &coder.Message{Ack: &coder.Ack{}})
			return <-b.refused
		},
		"plain connection to a TLS server": func(t *testing.T, _ *listeningMessenger) error {
			b := newListeningMessenger(t, "b", "k", selfSigned(t))
			a := newListeningMessenger(t, "a", "k", nil)
			a.SetPeers([]string{b.addr})
			return <-a.refused
		},
	}
	for name, refused := range cases {
		t.Run(name, func(t *testing.T) {
			must.Error(t, refused(t, newListeningMessenger(t, "b", "k", nil)))
		})
	}
}

// dialAndSend dials a messenger, sends one message and expects the connection to
// be closed.
func dialAndSend(t *testing.T, target *listeningMessenger, msg *coder.Message) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	header := http.Header{}
	header.Set(peerKeyHeader, "k")
	conn, resp, err := websocket.Dial(ctx, "ws://"+target.addr+Path, &websocket.DialOptions{HTTPHeader: header})
	must.NoError(t, err)
	if resp.Body != nil {
		defer resp.Body.Close()
	}
	defer conn.CloseNow()
	encoded, err := coder.EncodeMessage(msg)
	must.NoError(t, err)
	must.NoError(t, conn.Write(ctx, websocket.MessageBinary, encoded))
	_, _, err = conn.Read(ctx)
	must.Error(t, err)
}

// selfSigned returns a TLS configuration with a certificate for the loopback
// address, which both sides present and trust.
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
