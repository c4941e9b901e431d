// Package confservice reads and watches the operators' configuration service and the host list. This file
// contains the wire format of the platform; support for another platform would be another file.
package confservice

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"fireflyshift/internal/core"
	"fireflyshift/internal/member"
	"fireflyshift/internal/record"
)

const (
	readTimeout      = 3 * time.Second
	maxResponseBytes = 64 << 20
	minRetryDelay    = 200 * time.Millisecond
	maxRetryDelay    = 5 * time.Second
	// minWatchInterval is the minimum pause between the calls of a busy watch, as the service counts each call.
	minWatchInterval = 50 * time.Millisecond
)

// recordsReply is the response to GET /v1/records?after=R&wait=MS: all records with a revision above R,
// including deletions, or an empty list after the wait time.
type recordsReply struct {
	Revision uint64       `json:"revision"`
	Records  []record.Raw `json:"records"`
}

// hostsReply is the response to GET /v1/hosts?after=V&wait=MS.
type hostsReply struct {
	Version uint64       `json:"version"`
	Hosts   []hostRecord `json:"hosts"`
}

type hostRecord struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	Addr  string `json:"addr"`
	Role  string `json:"role"`  // entry or backend
	State string `json:"state"` // live or leaving
}

// Client reads the platform's configuration service and host list.
type Client struct {
	base string
	wait time.Duration
	http *http.Client
}

// NewClient returns a client for the platform at a base URL. wait is how long a watch stays open.
func NewClient(base string, wait time.Duration) *Client {
	return &Client{base: base, wait: wait, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// WatchRecords reads the records after a revision, then watches for newer ones, until ctx is done.
// It posts an event for each successful or failed read.
//
// A stale service may answer with a lower revision. The watch then continues from there, so that the
// records are read again when the service catches up. Accepted records do not go back; see package
// confstate.
func (c *Client) WatchRecords(ctx context.Context, after uint64, post func(core.Event)) {
	watch(ctx, c, "/v1/records", after, func(reply recordsReply, _ bool) uint64 {
		post(core.PlatformRecords{Records: reply.Records, Current: true})
		return reply.Revision
	}, func() { post(core.PlatformFailed{}) })
}

// WatchHosts watches the host list and posts its changes until ctx is done.
func (c *Client) WatchHosts(ctx context.Context, post func(core.Event)) {
	latest := uint64(0)
	watch(ctx, c, "/v1/hosts", 0, func(reply hostsReply, first bool) uint64 {
		if first || reply.Version != latest {
			post(hostList(reply))
		}
		latest = reply.Version
		return reply.Version
	}, func() {})
}

// watch reads what a path has after a version, then waits for changes after the version that handle returns, until
// ctx is done. After a failure it pauses with exponential back-off and then reads without waiting.
func watch[R any](ctx context.Context, c *Client, path string, after uint64, handle func(reply R, first bool) uint64, failed func()) {
	first, pause := true, minRetryDelay
	for ctx.Err() == nil {
		wait := c.wait
		if first {
			wait = 0
		}
		var reply R
		delay := minWatchInterval
		if err := c.get(ctx, fmt.Sprintf("%s?after=%d&wait=%d", path, after, wait.Milliseconds()), wait, &reply); err != nil {
			failed()
			first, delay = true, pause
			pause = min(2*pause, maxRetryDelay)
		} else {
			after = handle(reply, first)
			first, pause = false, minRetryDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

func hostList(r hostsReply) core.HostList {
	var out core.HostList
	for _, h := range r.Hosts {
		out.Hosts = append(out.Hosts, core.ListedHost{
			Host:    member.Host{ID: h.ID, Zone: h.Zone, Addr: h.Addr, Leaving: h.State == "leaving"},
			Backend: h.Role == "backend",
		})
	}
	return out
}

func (c *Client) get(ctx context.Context, path string, wait time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.ConnectionProblem(nil, "the platform answered %s", resp.Status)
	}
	return trace.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(into))
}
