// Package gossip carries heartbeats between hosts as datagrams, and news on request over HTTP. A
// heartbeat that is lost is replaced by the next one; news are large and rare.
package gossip

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
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

// Socket sends and receives heartbeats. All hosts use the same port.
type Socket struct {
	conn *net.UDPConn
	port int
}

// Listen opens the datagram port at an IP number.
func Listen(ip string, port int) (*Socket, error) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
	if err != nil {
		return nil, trace.Wrap(err, "open datagram port %d; free it or give another in the settings", port)
	}
	return &Socket{c, port}, nil
}

// Send writes one beat to each host. Errors are the caller's to count: a host that is gone makes
// one now and then.
func (s *Socket) Send(to []string, b *gossippb.Beat) (failed int, err error) {
	data, err := proto.Marshal(b)
	if err != nil {
		return len(to), trace.Wrap(err)
	}
	for _, ip := range to {
		if _, e := s.conn.WriteToUDP(data, &net.UDPAddr{IP: net.ParseIP(ip), Port: s.port}); e != nil {
			failed++
			err = trace.Wrap(e)
		}
	}
	return failed, err
}

// Receive passes beats on until the socket closes. What is not a beat is counted as malformed.
func (s *Socket) Receive(heard func(*gossippb.Beat), malformed func()) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an ICMP answer of a host that is gone
		}
		b := &gossippb.Beat{}
		if proto.Unmarshal(buf[:n], b) != nil || b.Host != from.IP.String() {
			malformed()
			continue
		}
		heard(b)
	}
}

// Close ends Receive.
func (s *Socket) Close() error { return trace.Wrap(s.conn.Close()) }

// Source is the host that answers questions for news.
type Source interface {
	// Snapshot is what the host knows beyond what the asker has; ok is false where its control thread
	// does not answer.
	Snapshot(since router.Since) (n router.News, ok bool)
}

// Handler answers questions for news.
func Handler(s Source) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+newsPath, func(w http.ResponseWriter, r *http.Request) {
		since, err := readSince(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		n, ok := s.Snapshot(since)
		if !ok {
			http.Error(w, "the control thread does not answer", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		writeNews(w, n, strings.Contains(r.Header.Get("Accept-Encoding"), gzipEncoding))
	})
	return mux
}

const (
	revisionParam = "revision"
	versionParam  = "version"
	gzipEncoding  = "gzip"
)

func readSince(q url.Values) (router.Since, error) {
	revision, err := strconv.ParseUint(q.Get(revisionParam), 10, 64)
	if err != nil {
		return router.Since{}, trace.BadParameter("%s is not a number", revisionParam)
	}
	version, err := strconv.ParseUint(q.Get(versionParam), 10, 64)
	if err != nil {
		return router.Since{}, trace.BadParameter("%s is not a number", versionParam)
	}
	return router.Since{Revision: revision, Version: version}, nil
}

// writeNews sends news, compressed where the asker takes that: a configuration shrinks to a tenth, and
// small hosts have 10 Mbit/s for all who ask at once. An error is the asker's: it hears less than
// whole JSON and asks again.
func writeNews(w http.ResponseWriter, n router.News, compress bool) {
	if !compress {
		_ = json.NewEncoder(w).Encode(n)
		return
	}
	w.Header().Set("Content-Encoding", gzipEncoding)
	z, _ := gzip.NewWriterLevel(w, gzip.BestSpeed) // the only error is an unknown level
	_ = json.NewEncoder(z).Encode(n)
	_ = z.Close()
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
func (p *Puller) Pull(ctx context.Context, host string, since router.Since) (router.News, error) {
	var n router.News
	q := url.Values{revisionParam: {strconv.FormatUint(since.Revision, 10)}, versionParam: {strconv.FormatUint(since.Version, 10)}}
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
