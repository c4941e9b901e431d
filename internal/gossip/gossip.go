// Package gossip carries heartbeats and slot requests with their responses between hosts as datagrams, and
// updates on request over HTTP. A lost heartbeat is replaced by the next one; a host whose slot request gets no
// response decides alone; updates are large and rare.
package gossip

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/router"
	"fireflyshift/internal/upstream"
)

const (
	// maxDatagram is the largest UDP payload.
	maxDatagram = 65507
	// pullTimeout limits a pull, including dialling.
	pullTimeout = time.Second
	updatesPath = "/news"
	// maxUpdateBytes limits an update, uncompressed: the registrations of 12,000 backend servers and a configuration take a few MB.
	maxUpdateBytes = 32 << 20
	maxUpdateHead  = 16 << 10
)

// Socket sends and receives datagrams between hosts. All hosts use the same port. One goroutine may send,
// one other receive.
type Socket struct {
	conn *net.UDPConn
	port uint16
	// addrs caches the socket addresses of hosts by IP address, and ips the reverse. addrs is used by the sending
	// goroutine only, ips by the receiving one.
	addrs map[string]netip.AddrPort
	ips   map[netip.Addr]string
	// buf is the reused encoding buffer.
	buf []byte
}

// Listen opens a UDP socket at an IP address and port.
func Listen(ip string, port int) (*Socket, error) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
	if err != nil {
		return nil, trace.Wrap(err, "open datagram port %d; free it or give another in the settings", port)
	}
	return &Socket{conn: c, port: uint16(port), addrs: map[string]netip.AddrPort{}, ips: map[netip.Addr]string{}}, nil
}

// Send sends a datagram to each host and returns its size in bytes, the number of failed sends and the last error.
// Hosts that have left cause occasional errors.
func (s *Socket) Send(to []string, p *gossippb.Packet) (size, failed int, err error) {
	s.buf, err = proto.MarshalOptions{}.MarshalAppend(s.buf[:0], p)
	if err != nil {
		return 0, len(to), trace.Wrap(err)
	}
	for _, ip := range to {
		if e := s.write(ip); e != nil {
			failed++
			err = trace.Wrap(e)
		}
	}
	return len(s.buf), failed, err
}

func (s *Socket) write(ip string) error {
	addr, ok := s.addrs[ip]
	if !ok {
		var err error
		if addr, err = s.addrOf(ip); err != nil {
			return err
		}
		s.addrs[ip] = addr
	}
	_, err := s.conn.WriteToUDPAddrPort(s.buf, addr)
	return err
}

// addrOf returns a host's socket address.
func (s *Socket) addrOf(ip string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddr(ip)
	return netip.AddrPortFrom(addr, s.port), err
}

// ipOf returns the IP address of a sender as text.
func (s *Socket) ipOf(from netip.Addr) string {
	ip, ok := s.ips[from]
	if !ok {
		ip = from.Unmap().String()
		if len(s.ips) < maxKnownSenders {
			s.ips[from] = ip
		}
	}
	return ip
}

// maxKnownSenders limits the cache of senders' addresses, since anyone can send a datagram.
const maxKnownSenders = 4096

// Receive passes datagrams to handle until the socket is closed, with the sender's IP address and the size in
// bytes. It calls malformed for datagrams that cannot be decoded or have a wrong sender.
func (s *Socket) Receive(handle func(from string, p *gossippb.Packet, size int), malformed func()) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an ICMP error from a host that has left
		}
		p, sender := &gossippb.Packet{}, s.ipOf(from.Addr())
		if proto.Unmarshal(buf[:n], p) != nil || (p.Beat != nil && p.Beat.Host != sender) {
			malformed()
			continue
		}
		handle(sender, p, n)
	}
}

// Close ends Receive.
func (s *Socket) Close() error { return trace.Wrap(s.conn.Close()) }

// Source provides a host's state for other hosts.
type Source interface {
	// Snapshot returns the state that the requesting host lacks. ok is false if the control thread does not
	// respond.
	Snapshot(since router.Since) (n router.Update, ok bool)
}

// Handler serves a host's state to other hosts.
func Handler(s Source) http.Handler {
	cache := &responseCache{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+updatesPath, func(w http.ResponseWriter, r *http.Request) {
		since, err := parseSince(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		body, err := cache.body(since, time.Now(), s)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		writeUpdate(w, body, strings.Contains(r.Header.Get("Accept-Encoding"), gzipEncoding))
	})
	return mux
}

// responseTTL is how long a response is reused for identical requests. When all hosts of a fleet start at once, a
// hundred of them request everything from the few that have the configuration, and a small host would encode it a
// hundred times. Later changes reach the requesting host with the next heartbeat.
const responseTTL = 100 * time.Millisecond

// responseCache holds the latest response.
type responseCache struct {
	mu     sync.Mutex
	since  router.Since
	at     time.Time
	zipped []byte
}

// body returns the gzip-compressed response to a request.
func (c *responseCache) body(since router.Since, now time.Time, s Source) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.zipped != nil && c.since == since && now.Sub(c.at) < responseTTL {
		return c.zipped, nil
	}
	n, ok := s.Snapshot(since)
	if !ok {
		return nil, trace.ConnectionProblem(nil, "the control thread does not respond; ask another host")
	}
	var buf bytes.Buffer
	z, _ := gzip.NewWriterLevel(&buf, gzip.BestSpeed) // the only error is an unknown level
	if err := json.NewEncoder(z).Encode(n); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := z.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	c.since, c.at, c.zipped = since, now, buf.Bytes()
	return c.zipped, nil
}

const (
	revisionParam = "revision"
	eraParam      = "era"
	versionParam  = "version"
	gzipEncoding  = "gzip"
)

func parseSince(q url.Values) (router.Since, error) {
	var since router.Since
	for name, target := range map[string]*uint64{revisionParam: &since.Revision.Number, eraParam: &since.Revision.Era, versionParam: &since.Version} {
		if name == eraParam && !q.Has(name) {
			continue // era 0: hosts of earlier builds do not send the parameter
		}
		n, err := strconv.ParseUint(q.Get(name), 10, 64)
		if err != nil {
			return router.Since{}, trace.BadParameter("%s is not a number", name)
		}
		*target = n
	}
	return since, nil
}

// writeUpdate writes a response, compressed if the client accepts that: compression reduces a configuration to a
// tenth, and small hosts have 10 Mbit/s for all clients together. Write errors are ignored: the client gets
// incomplete JSON and tries again.
func writeUpdate(w http.ResponseWriter, zipped []byte, compress bool) {
	if compress {
		w.Header().Set("Content-Encoding", gzipEncoding)
		_, _ = w.Write(zipped)
		return
	}
	z, err := gzip.NewReader(bytes.NewReader(zipped))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = io.Copy(w, z)
}

// Puller requests updates from other hosts.
type Puller struct {
	http *http.Client
	port int
}

// NewPuller returns a Puller that contacts all hosts at the given port.
func NewPuller(port int) *Puller {
	t := &http.Transport{DialContext: upstream.Dialer(pullTimeout).DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxUpdateHead}
	return &Puller{http: &http.Client{Transport: t, Timeout: pullTimeout}, port: port}
}

// Pull requests from a host the state that this one lacks.
func (p *Puller) Pull(ctx context.Context, host string, since router.Since) (router.Update, error) {
	var n router.Update
	q := url.Values{revisionParam: {strconv.FormatUint(since.Revision.Number, 10)}, eraParam: {strconv.FormatUint(since.Revision.Era, 10)},
		versionParam: {strconv.FormatUint(since.Version, 10)}}
	u := url.URL{Scheme: "http", Host: net.JoinHostPort(host, strconv.Itoa(p.port)), Path: updatesPath, RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return n, trace.Wrap(err)
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return n, trace.ConnectionProblem(err, "host %s did not respond to a pull", host)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return n, trace.ConnectionProblem(nil, "host %s answered a pull with %s", host, resp.Status)
	}
	return n, trace.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxUpdateBytes)).Decode(&n))
}
