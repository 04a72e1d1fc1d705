// Package linker carries messages between entry instances over WebSocket. An
// instance dials each peer and sends on the connections that it dialled; it
// receives on those that peers dialled. A link may lose what is on its way
// when it breaks; the core sends again what matters.
package linker

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
	// queueLength bounds the messages that wait for one peer.
	queueLength    = 4096
	dialTimeout    = 2 * time.Second
	writeTimeout   = 2 * time.Second
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	// Path is where an instance takes links.
	Path = "/v1/link"
	// peerKeyHeader carries the key that the instances share.
	peerKeyHeader = "Heatherslip-Peer-Key"
)

var (
	errVersionMismatch = errors.New("peer speaks another version")
	errNoHello         = errors.New("peer did not begin with a hello")
	errSelfDial        = errors.New("peer is this instance itself")
)

// Handler is told what happens on links. Its methods must not block for long.
type Handler interface {
	LinkUp(m coder.Member)
	LinkDown(inc namer.Incarnation)
	HandleMessage(from namer.Incarnation, m *coder.Message)
	// LinkRefused is told why a peer or a message was turned away.
	LinkRefused(where string, err error)
}

// Options are what a Linker is made with.
type Options struct {
	Self coder.Member
	// Key is shared by all instances; empty where none is set.
	Key string
	// TLS is nil where links are not encrypted.
	TLS     *tls.Config
	Handler Handler
}

// Linker holds the links to all peers. Build one with New.
type Linker struct {
	opts   Options
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu   sync.Mutex
	self coder.Member
	// dialers holds a dialler per address.
	dialers map[string]*dialer
	// connected holds the dialler whose connection stands, per peer.
	connected map[namer.Incarnation]*dialer
	// inbound holds the connections that peers dialled.
	inbound map[*websocket.Conn]struct{}
}

// dialer keeps up the connection to one address.
type dialer struct {
	addr   string
	queue  chan *coder.Message
	cancel context.CancelFunc
	// disconnect ends the present connection, not the dialler.
	disconnect chan struct{}
}

// New returns a Linker without links.
func New(opts Options) *Linker {
	ctx, cancel := context.WithCancel(context.Background())
	return &Linker{
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

// SetPeers tells which addresses to keep links to.
func (l *Linker) SetPeers(addrs []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := make(map[string]bool, len(addrs))
	for _, a := range addrs {
		wanted[a] = a != "" && a != l.self.Peer
	}
	for a, d := range l.dialers {
		if !wanted[a] {
			d.cancel()
			delete(l.dialers, a)
		}
	}
	for a, ok := range wanted {
		if ok && l.dialers[a] == nil && l.ctx.Err() == nil {
			l.dialers[a] = l.startDialer(a)
		}
	}
}

func (l *Linker) startDialer(addr string) *dialer {
	ctx, cancel := context.WithCancel(l.ctx)
	d := &dialer{
		addr:       addr,
		queue:      make(chan *coder.Message, queueLength),
		cancel:     cancel,
		disconnect: make(chan struct{}, 1),
	}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		retryBackoff := backoff.NewExponentialBackOff()
		retryBackoff.InitialInterval = initialBackoff
		retryBackoff.MaxInterval = maxBackoff
		for ctx.Err() == nil {
			if l.connectAndSend(ctx, d) {
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

// connectAndSend dials, and sends until the connection breaks. It returns true where
// the link was up.
func (l *Linker) connectAndSend(ctx context.Context, d *dialer) bool {
	conn, peer, err := l.dialPeer(ctx, d.addr)
	if err != nil {
		if !errors.Is(err, errSelfDial) && ctx.Err() == nil {
			l.opts.Handler.LinkRefused(d.addr, err)
		}
		return false
	}
	defer conn.CloseNow()
	l.discardQueue(d)
	l.mu.Lock()
	l.connected[peer.Incarnation] = d
	l.mu.Unlock()
	l.opts.Handler.LinkUp(peer)
	l.sendQueued(ctx, conn, d)
	l.mu.Lock()
	if l.connected[peer.Incarnation] == d {
		delete(l.connected, peer.Incarnation)
	}
	l.mu.Unlock()
	l.opts.Handler.LinkDown(peer.Incarnation)
	return true
}

// discardQueue drops what was queued for the connection before.
func (l *Linker) discardQueue(d *dialer) {
	for {
		select {
		case <-d.queue:
		case <-d.disconnect:
		default:
			return
		}
	}
}

func (l *Linker) dialPeer(ctx context.Context, addr string) (*websocket.Conn, coder.Member, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	scheme := "ws://"
	if l.opts.TLS != nil {
		scheme = "wss://"
	}
	header := http.Header{}
	header.Set(peerKeyHeader, l.opts.Key)
	conn, resp, err := websocket.Dial(dialCtx, scheme+addr+Path, &websocket.DialOptions{HTTPClient: l.client, HTTPHeader: header})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, coder.Member{}, fmt.Errorf("dial %s: %w", addr, err)
	}
	conn.SetReadLimit(coder.MaxMessageBytes)
	peer, err := l.exchangeHellos(dialCtx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return nil, coder.Member{}, err
	}
	return conn, peer, nil
}

func (l *Linker) exchangeHellos(ctx context.Context, conn *websocket.Conn) (coder.Member, error) {
	if err := writeMessage(ctx, conn, l.helloMessage()); err != nil {
		return coder.Member{}, err
	}
	return l.readHello(ctx, conn)
}

func (l *Linker) helloMessage() *coder.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &coder.Message{Hello: &coder.Hello{Version: coder.Version, Member: l.self}}
}

func (l *Linker) readHello(ctx context.Context, conn *websocket.Conn) (coder.Member, error) {
	m, err := readMessage(ctx, conn)
	if err != nil {
		return coder.Member{}, err
	}
	if m.Hello == nil {
		return coder.Member{}, errNoHello
	}
	if m.Hello.Version != coder.Version {
		return coder.Member{}, fmt.Errorf("%w: %d", errVersionMismatch, m.Hello.Version)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Hello.Member.Incarnation == l.self.Incarnation {
		return coder.Member{}, errSelfDial
	}
	return m.Hello.Member, nil
}

// sendQueued sends what is queued until the connection breaks. It reads too,
// since that is how a close by the peer shows.
func (l *Linker) sendQueued(ctx context.Context, conn *websocket.Conn, d *dialer) {
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

func writeMessage(ctx context.Context, conn *websocket.Conn, m *coder.Message) error {
	b, err := coder.EncodeMessage(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := conn.Write(ctx, websocket.MessageBinary, b); err != nil {
		return fmt.Errorf("write to peer: %w", err)
	}
	return nil
}

func readMessage(ctx context.Context, conn *websocket.Conn) (*coder.Message, error) {
	_, b, err := conn.Read(ctx)
	if err != nil {
		return nil, fmt.Errorf("read from peer: %w", err)
	}
	return coder.DecodeMessage(b)
}

// Send queues a message for a peer. Where the peer cannot be reached the
// message is lost; where its queue is full the link is dropped as well.
func (l *Linker) Send(to namer.Incarnation, m *coder.Message) {
	l.mu.Lock()
	d := l.connected[to]
	l.mu.Unlock()
	if d == nil {
		return
	}
	select {
	case d.queue <- m:
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

// ServeHTTP takes a link that a peer dials.
func (l *Linker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(peerKeyHeader)), []byte(l.opts.Key)) != 1 {
		l.opts.Handler.LinkRefused(r.RemoteAddr, errors.New("wrong peer key"))
		http.Error(rw, "wrong peer key", http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(rw, r, nil)
	if err != nil {
		l.opts.Handler.LinkRefused(r.RemoteAddr, err)
		return
	}
	defer conn.CloseNow()
	conn.SetReadLimit(coder.MaxMessageBytes)
	if !l.addInbound(conn) {
		return
	}
	defer l.removeInbound(conn)
	if err := l.receiveMessages(conn); err != nil {
		l.opts.Handler.LinkRefused(r.RemoteAddr, err)
	}
}

// addInbound counts an inbound connection, so that Close waits for it.
func (l *Linker) addInbound(conn *websocket.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return false
	}
	l.inbound[conn] = struct{}{}
	l.wg.Add(1)
	return true
}

func (l *Linker) removeInbound(conn *websocket.Conn) {
	l.mu.Lock()
	delete(l.inbound, conn)
	l.mu.Unlock()
	l.wg.Done()
}

// receiveMessages receives until the connection breaks. Only what a peer did wrong is
// an error.
func (l *Linker) receiveMessages(conn *websocket.Conn) error {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	peer, err := l.readHello(ctx, conn)
	if err != nil {
		return err
	}
	if err := writeMessage(ctx, conn, l.helloMessage()); err != nil {
		return nil
	}
	for {
		_, b, err := conn.Read(l.ctx)
		if err != nil {
			return nil
		}
		m, err := coder.DecodeMessage(b)
		if err != nil {
			return err
		}
		l.opts.Handler.HandleMessage(peer.Incarnation, m)
	}
}

// SwitchIncarnation goes on under another incarnation: all links are made anew.
func (l *Linker) SwitchIncarnation(self coder.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self = self
	for _, d := range l.dialers {
		d.requestDisconnect()
	}
	for conn := range l.inbound {
		_ = conn.CloseNow()
	}
}

// Close ends all links and waits until nothing runs any more.
func (l *Linker) Close() {
	l.cancel()
	l.mu.Lock()
	for conn := range l.inbound {
		_ = conn.CloseNow()
	}
	l.mu.Unlock()
	l.wg.Wait()
	l.client.CloseIdleConnections()
}
