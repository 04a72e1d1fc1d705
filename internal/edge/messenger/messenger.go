// Package messenger carries messages between entry instances over WebSocket. An
// instance sends to a peer on the connection that it dialed, and receives on
// connections that peers dialed. Messages in flight may be lost when a
// connection breaks; the core resends those that it needs to arrive.
package messenger

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// queueLength is the maximum number of messages queued for one peer.
	queueLength    = 4096
	dialTimeout    = 2 * time.Second
	writeTimeout   = 2 * time.Second
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	// Path is the HTTP path at which an instance accepts links.
	Path = "/v1/link"
	// peerKeyHeader is the HTTP header with the key shared by all instances.
	peerKeyHeader = "Heatherslip-Peer-Key"
)

var (
	errVersionMismatch = errors.New("peer uses another protocol version")
	errNoHello         = errors.New("first message from peer is not a hello")
	errSelfDial        = errors.New("peer is this instance itself")
)

// Messenger maintains the links to all peers. Use New to create one.
type Messenger struct {
	opts   Options
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu   sync.Mutex
	self coder.Member
	// dialers holds the dialer of each peer address.
	dialers map[string]*dialer
	// connected holds the dialers with an established connection, by peer.
	connected map[namer.Incarnation]*dialer
	// inbound holds the connections that peers dialed.
	inbound map[*websocket.Conn]struct{}
}

// Handler receives the events of a Messenger. Its methods must not block for long,
// since the link waits for them.
type Handler interface {
	// LinkUp is called when the outgoing connection to a peer is established.
	LinkUp(m coder.Member)
	// LinkDown is called when the outgoing connection to a peer is closed.
	LinkDown(inc namer.Incarnation)
	// HandleMessage is called for each message from a peer.
	HandleMessage(from namer.Incarnation, m *coder.Message)
	// LinkRefused is called when a connection could not be established, or was
	// closed because of a malformed message.
	LinkRefused(addr string, err error)
}

// Options configures a Messenger.
type Options struct {
	Self coder.Member
	// Key is the secret shared by all instances; empty if none is set.
	Key string
	// TLS is nil if links are not encrypted.
	TLS     *tls.Config
	Handler Handler
}

// dialer maintains the connection to one peer address.
type dialer struct {
	addr   string
	queue  chan *coder.Message
	cancel context.CancelFunc
	// disconnect requests that the current connection be closed. The dialer then
	// connects again.
	disconnect chan struct{}
}

// New returns a Messenger without links.
func New(opts Options) *Messenger {
	ctx, cancel := context.WithCancel(context.Background())
	return &Messenger{
		opts:      opts,
		client:    &http.Client{Transport: &http.Transport{TLSClientConfig: opts.TLS}},
		ctx:       ctx,
		cancel:    cancel,
		self:      opts.Self,
		dialers:   make(map[string]*dialer),
		connected: make(map[namer.Incarnation]*dialer),
		inbound:   make(map[*websocket.Conn]struct{}),
	}
}

// SetPeers sets the addresses to maintain links to. It stops the dialers of all
// other addresses, and ignores empty addresses and the instance's own.
func (m *Messenger) SetPeers(addrs []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := make(map[string]bool, len(addrs))
	for _, a := range addrs {
		wanted[a] = a != "" && a != m.self.PeerAddress
	}
	for a, d := range m.dialers {
		if !wanted[a] {
			d.cancel()
			delete(m.dialers, a)
		}
	}
	for a, want := range wanted {
		if want && m.dialers[a] == nil && m.ctx.Err() == nil {
			m.dialers[a] = m.startDialer(a)
		}
	}
}

func (m *Messenger) startDialer(addr string) *dialer {
	ctx, cancel := context.WithCancel(m.ctx)
	d := &dialer{
		addr:       addr,
		queue:      make(chan *coder.Message, queueLength),
		cancel:     cancel,
		disconnect: make(chan struct{}, 1),
	}
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		retryBackoff := backoff.NewExponentialBackOff()
		retryBackoff.InitialInterval = initialBackoff
		retryBackoff.MaxInterval = maxBackoff
		for ctx.Err() == nil {
			if m.connectAndSend(ctx, d) {
				retryBackoff.Reset()
			}
			select {
			case <-ctx.Done():
			case <-time.After(retryBackoff.NextBackOff()):
			}
		}
	}()
	return d
}

// connectAndSend dials a peer and sends queued messages until the connection
// breaks. It reports whether the connection was established.
func (m *Messenger) connectAndSend(ctx context.Context, d *dialer) bool {
	conn, peer, err := m.dialPeer(ctx, d.addr)
	if err != nil {
		if !errors.Is(err, errSelfDial) && ctx.Err() == nil {
			m.opts.Handler.LinkRefused(d.addr, err)
		}
		return false
	}
	defer conn.CloseNow()
	m.discardQueue(d)
	m.mu.Lock()
	m.connected[peer.Incarnation] = d
	m.mu.Unlock()
	m.opts.Handler.LinkUp(peer)
	m.sendQueued(ctx, conn, d)
	m.mu.Lock()
	if m.connected[peer.Incarnation] == d {
		delete(m.connected, peer.Incarnation)
	}
	m.mu.Unlock()
	m.opts.Handler.LinkDown(peer.Incarnation)
	return true
}

// discardQueue discards the messages and disconnect requests that were queued
// for the previous connection.
func (m *Messenger) discardQueue(d *dialer) {
	for {
		select {
		case <-d.queue:
		case <-d.disconnect:
		default:
			return
		}
	}
}

func (m *Messenger) dialPeer(ctx context.Context, addr string) (*websocket.Conn, coder.Member, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	scheme := "ws://"
	if m.opts.TLS != nil {
		scheme = "wss://"
	}
	header := http.Header{}
	header.Set(peerKeyHeader, m.opts.Key)
	conn, resp, err := websocket.Dial(dialCtx, scheme+addr+Path, &websocket.DialOptions{HTTPClient: m.client, HTTPHeader: header})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, coder.Member{}, fmt.Errorf("dial %s: %w", addr, err)
	}
	conn.SetReadLimit(coder.MaxMessageBytes)
	peer, err := m.exchangeHellos(dialCtx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return nil, coder.Member{}, err
	}
	return conn, peer, nil
}

func (m *Messenger) exchangeHellos(ctx context.Context, conn *websocket.Conn) (coder.Member, error) {
	if err := writeMessage(ctx, conn, m.helloMessage()); err != nil {
		return coder.Member{}, err
	}
	return m.readHello(ctx, conn)
}

func (m *Messenger) helloMessage() *coder.Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &coder.Message{Hello: &coder.Hello{Version: coder.Version, Member: m.self}}
}

func (m *Messenger) readHello(ctx context.Context, conn *websocket.Conn) (coder.Member, error) {
	msg, err := readMessage(ctx, conn)
	if err != nil {
		return coder.Member{}, err
	}
	if msg.Hello == nil {
		return coder.Member{}, errNoHello
	}
	if msg.Hello.Version != coder.Version {
		return coder.Member{}, fmt.Errorf("%w: %d", errVersionMismatch, msg.Hello.Version)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if msg.Hello.Member.Incarnation == m.self.Incarnation {
		return coder.Member{}, errSelfDial
	}
	return msg.Hello.Member, nil
}

// sendQueued sends queued messages until the connection breaks. It also reads
// from the connection, because a close by the peer is only seen when reading.
func (m *Messenger) sendQueued(ctx context.Context, conn *websocket.Conn, d *dialer) {
	ctx = conn.CloseRead(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.disconnect:
			return
		case m := <-d.queue:
			if err := writeMessage(ctx, conn, m); err != nil {
				return
			}
		}
	}
}

func writeMessage(ctx context.Context, conn *websocket.Conn, msg *coder.Message) error {
	data, err := coder.EncodeMessage(msg)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fmt.Errorf("write to peer: %w", err)
	}
	return nil
}

func readMessage(ctx context.Context, conn *websocket.Conn) (*coder.Message, error) {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return nil, fmt.Errorf("read from peer: %w", err)
	}
	return coder.DecodeMessage(data)
}

// Send queues a message for a peer. If the peer is not connected, the message is
// dropped. If its queue is full, the connection is closed as well.
func (m *Messenger) Send(to namer.Incarnation, msg *coder.Message) {
	m.mu.Lock()
	d := m.connected[to]
	m.mu.Unlock()
	if d == nil {
		return
	}
	select {
	case d.queue <- msg:
	default:
		d.requestDisconnect()
	}
}

func (d *dialer) requestDisconnect() {
	select {
	case d.disconnect <- struct{}{}:
	default:
	}
}

// ServeHTTP accepts a connection from a peer and receives messages on it until
// it is closed.
func (m *Messenger) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(peerKeyHeader)), []byte(m.opts.Key)) != 1 {
		m.opts.Handler.LinkRefused(r.RemoteAddr, errors.New("wrong peer key"))
		http.Error(rw, "wrong peer key", http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(rw, r, nil)
	if err != nil {
		m.opts.Handler.LinkRefused(r.RemoteAddr, err)
		return
	}
	defer conn.CloseNow()
	conn.SetReadLimit(coder.MaxMessageBytes)
	if !m.addInbound(conn) {
		return
	}
	defer m.removeInbound(conn)
	if err := m.receiveMessages(conn); err != nil {
		m.opts.Handler.LinkRefused(r.RemoteAddr, err)
	}
}

// addInbound registers an inbound connection, so that Close waits for it. It
// returns false if the Messenger is closed.
func (m *Messenger) addInbound(conn *websocket.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return false
	}
	m.inbound[conn] = struct{}{}
	m.wg.Add(1)
	return true
}

func (m *Messenger) removeInbound(conn *websocket.Conn) {
	m.mu.Lock()
	delete(m.inbound, conn)
	m.mu.Unlock()
	m.wg.Done()
}

// receiveMessages reads messages until the connection breaks. It returns an
// error if the peer's hello cannot be read or is not accepted, or if a message
// is malformed; a connection that breaks later is not an error.
func (m *Messenger) receiveMessages(conn *websocket.Conn) error {
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	peer, err := m.readHello(ctx, conn)
	if err != nil {
		return err
	}
	if err := writeMessage(ctx, conn, m.helloMessage()); err != nil {
		return nil
	}
	for {
		_, data, err := conn.Read(m.ctx)
		if err != nil {
			return nil
		}
		msg, err := coder.DecodeMessage(data)
		if err != nil {
			return err
		}
		m.opts.Handler.HandleMessage(peer.Incarnation, msg)
	}
}

// SwitchIncarnation changes the identity that the instance announces to peers,
// and closes all connections. The dialers then connect again.
func (m *Messenger) SwitchIncarnation(self coder.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self = self
	for _, d := range m.dialers {
		d.requestDisconnect()
	}
	for conn := range m.inbound {
		_ = conn.CloseNow()
	}
}

// Close closes all connections and waits for the Messenger's goroutines.
func (m *Messenger) Close() {
	m.cancel()
	m.mu.Lock()
	for conn := range m.inbound {
		_ = conn.CloseNow()
	}
	m.mu.Unlock()
	m.wg.Wait()
	m.client.CloseIdleConnections()
}
