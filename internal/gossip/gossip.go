// Package gossip carries heartbeats, and questions for places with their answers, between hosts as datagrams,
// and news on request over HTTP. A heartbeat that is lost is replaced by the next one; a question that is not
// answered leaves its asker to decide alone; news are large and rare.
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
	// pullTimeout bounds a question for news, dialling included.
	pullTimeout = time.Second
	newsPath    = "/news"
)

// Socket sends and receives datagrams between hosts. All hosts use the same port. One goroutine may send,
// one other receive.
type Socket struct {
	conn *net.UDPConn
	port uint16
	// addrs are the addresses of hosts by IP number, and names the reverse, so that no datagram makes them
	// anew; addrs is the sender's, names the receiver's.
	addrs map[string]netip.AddrPort
	names map[netip.Addr]string
	// out is where datagrams are encoded.
	out []byte
}

// Listen opens the datagram port at an IP number.
func Listen(ip string, port int) (*Socket, error) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
	if err != nil {
		return nil, trace.Wrap(err, "open datagram port %d; free it or give another in the settings", port)
	}
	return &Socket{conn: c, port: uint16(port), addrs: map[string]netip.AddrPort{}, names: map[netip.Addr]string{}}, nil
}

// Send writes one datagram to each host and returns its size in bytes. Errors are the caller's to count: a
// host that is gone makes one now and then.
func (s *Socket) Send(to []string, p *gossippb.Packet) (size, failed int, err error) {
	s.out, err = proto.MarshalOptions{}.MarshalAppend(s.out[:0], p)
	if err != nil {
		return 0, len(to), trace.Wrap(err)
	}
	for _, ip := range to {
		if e := s.write(ip); e != nil {
			failed++
			err = trace.Wrap(e)
		}
	}
	return len(s.out), failed, err
}

func (s *Socket) write(ip string) error {
	addr, ok := s.addrs[ip]
	if !ok {
		var err error
		if addr, err = s.parse(ip); err != nil {
			return err
		}
		s.addrs[ip] = addr
	}
	_, err := s.conn.WriteToUDPAddrPort(s.out, addr)
	return err
}

// parse is a host's address by its IP number.
func (s *Socket) parse(ip string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddr(ip)
	return netip.AddrPortFrom(addr, s.port), err
}

// name is the IP number of a sender.
func (s *Socket) name(from netip.Addr) string {
	name, ok := s.names[from]
	if !ok {
		name = from.Unmap().String()
		if len(s.names) < maxNames {
			s.names[from] = name
		}
	}
	return name
}

// maxNames bounds the senders whose IP numbers are kept; anybody can send a datagram.
const maxNames = 4096

// Receive passes datagrams on until the socket closes, with the sender's IP number and the size in bytes.
// What is none of this project's is counted as malformed.
func (s *Socket) Receive(heard func(from string, p *gossippb.Packet, size int), malformed func()) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an ICMP answer of a host that is gone
		}
		p, name := &gossippb.Packet{}, s.name(from.Addr())
		if proto.Unmarshal(buf[:n], p) != nil || (p.Beat != nil && p.Beat.Host != name) {
			malformed()
			continue
		}
		heard(name, p, n)
	}
}

// Close ends Receive.
func (s *Socket) Close() error { return trace.Wrap(s.conn.Close()) }

// Source is the host that answers questions for news.
type Source interface {
	// Snapshot is what the host knows beyond what the asker has; ok is false where its control thread
	// does not answer.
	Snapshot(since router.Since) (n router.Update, ok bool)
}

// Handler answers questions for news.
func Handler(s Source) http.Handler {
	last := &lastNews{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+newsPath, func(w http.ResponseWriter, r *http.Request) {
		since, err := readSince(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		body, err := last.body(since, time.Now(), s)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		writeNews(w, body, strings.Contains(r.Header.Get("Accept-Encoding"), gzipEncoding))
	})
	return mux
}

// lastFor is how long an answer is given again to the same question. After a start of all hosts a hundred ask
// the few that know the configuration, all for everything, and a small host would encode it a hundred times.
// What is new meanwhile the asker hears of in the next beat.
const lastFor = 100 * time.Millisecond

// lastNews is the latest answer, compressed.
type lastNews struct {
	mu     sync.Mutex
	since  router.Since
	at     time.Time
	zipped []byte
}

// body is the answer to a question, compressed.
func (l *lastNews) body(since router.Since, now time.Time, s Source) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.zipped != nil && l.since == since && now.Sub(l.at) < lastFor {
		return l.zipped, nil
	}
	n, ok := s.Snapshot(since)
	if !ok {
		return nil, trace.ConnectionProblem(nil, "the control thread does not answer; ask another host")
	}
	var buf bytes.Buffer
	z, _ := gzip.NewWriterLevel(&buf, gzip.BestSpeed) // the only error is an unknown level
	if err := json.NewEncoder(z).Encode(n); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := z.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	l.since, l.at, l.zipped = since, now, buf.Bytes()
	return l.zipped, nil
}

const (
	revisionParam = "revision"
	eraParam      = "era"
	versionParam  = "version"
	gzipEncoding  = "gzip"
)

func readSince(q url.Values) (router.Since, error) {
	var since router.Since
	for name, into := range map[string]*uint64{revisionParam: &since.Revision.Number, eraParam: &since.Revision.Era, versionParam: &since.Version} {
		if name == eraParam && !q.Has(name) {
			continue // the first, as hosts that know no eras ask
		}
		n, err := strconv.ParseUint(q.Get(name), 10, 64)
		if err != nil {
			return router.Since{}, trace.BadParameter("%s is not a number", name)
		}
		*into = n
	}
	return since, nil
}

// writeNews sends news, compressed where the asker takes that: a configuration shrinks to a tenth, and
// small hosts have 10 Mbit/s for all who ask at once. An error is the asker's: it hears less than
// whole JSON and asks again.
func writeNews(w http.ResponseWriter, zipped []byte, compress bool) {
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

// Puller asks hosts for news.
type Puller struct {
	http *http.Client
	port int
}

// NewPuller returns a client of the hosts' news at a port.
func NewPuller(port int) *Puller {
	t := &http.Transport{DialContext: upstream.Dialer(pullTimeout).DialContext, DisableKeepAlives: true}
	return &Puller{http: &http.Client{Transport: t, Timeout: pullTimeout}, port: port}
}

// Pull reads what a host knows beyond what this one has.
func (p *Puller) Pull(ctx context.Context, host string, since router.Since) (router.Update, error) {
	var n router.Update
	q := url.Values{revisionParam: {strconv.FormatUint(since.Revision.Number, 10)}, eraParam: {strconv.FormatUint(since.Revision.Era, 10)},
		versionParam: {strconv.FormatUint(since.Version, 10)}}
	u := url.URL{Scheme: "http", Host: net.JoinHostPort(host, strconv.Itoa(p.port)), Path: newsPath, RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return n, trace.Wrap(err)
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return n, trace.ConnectionProblem(err, "host %s gave no news", host)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return n, trace.ConnectionProblem(nil, "host %s answered %s to a question for news", host, resp.Status)
	}
	return n, trace.Wrap(json.NewDecoder(resp.Body).Decode(&n))
}
