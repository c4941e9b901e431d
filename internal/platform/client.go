// Package platform reads the operators' configuration service and the host list. Both can only be
// read and watched. This file holds the wire format; another platform costs another file.
package platform

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
	readTimeout = 3 * time.Second
	maxReply    = 64 << 20
	retryFirst  = 200 * time.Millisecond
	retryMost   = 5 * time.Second
	// minWatchGap spaces the calls of a busy watch: each call counts at the service.
	minWatchGap = 50 * time.Millisecond
)

// recordsReply is the answer to GET /v1/records?after=R&wait=MS: every record whose revision is
// above R, deletions included, or an empty list after the wait.
type recordsReply struct {
	Revision uint64       `json:"revision"`
	Records  []record.Raw `json:"records"`
}

// hostsReply is the answer to GET /v1/hosts?after=V&wait=MS.
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

// Client reads the platform.
type Client struct {
	base string
	wait time.Duration
	http *http.Client
}

// NewClient returns a client of the platform at a base URL; wait is how long a watch stays open.
func NewClient(base string, wait time.Duration) *Client {
	return &Client{base: base, wait: wait, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// WatchRecords reads all records, then watches for newer ones, until ctx ends. Each read that
// succeeds or fails is posted. Every start reads from revision zero: what a platform says changed
// while nobody watched is not taken on trust.
func (c *Client) WatchRecords(ctx context.Context, post func(core.Event)) {
	after := uint64(0)
	first := true
	c.loop(ctx, func(ctx context.Context) (bool, error) {
		wait := c.wait
		if first {
			wait = 0
		}
		var reply recordsReply
		if err := c.get(ctx, fmt.Sprintf("/v1/records?after=%d&wait=%d", after, wait.Milliseconds()), wait, &reply); err != nil {
			post(core.PlatformFailed{})
			first = true
			return false, err
		}
		first = false
		// A stale service may answer with a lower revision: follow it, so that its records are
		// read again when it catches up. What is in force does not go back; see confstate.
		after = reply.Revision
		post(core.PlatformRecords{Records: reply.Records, Current: true})
		return true, nil
	})
}

// WatchHosts follows the host list until ctx ends.
func (c *Client) WatchHosts(ctx context.Context, post func(core.Event)) {
	after := uint64(0)
	first := true
	c.loop(ctx, func(ctx context.Context) (bool, error) {
		wait := c.wait
		if first {
			wait = 0
		}
		var reply hostsReply
		if err := c.get(ctx, fmt.Sprintf("/v1/hosts?after=%d&wait=%d", after, wait.Milliseconds()), wait, &reply); err != nil {
			first = true
			return false, err
		}
		if first || reply.Version != after {
			post(hostList(reply))
		}
		first, after = false, reply.Version
		return true, nil
	})
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

// loop repeats a read: at once after a success, with growing pauses after failures.
func (c *Client) loop(ctx context.Context, read func(context.Context) (bool, error)) {
	pause := retryFirst
	for ctx.Err() == nil {
		ok, _ := read(ctx)
		wait := minWatchGap
		if !ok {
			wait = pause
			pause = min(2*pause, retryMost)
		} else {
			pause = retryFirst
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
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
	return trace.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(into))
}
