package test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/standin/fleet"
)

// Guards against bad input that gets a wrong refusal: each kind must have its own status and kind, name the remedy, state
// truthfully that nothing ran, and run nothing.
func TestBadInputs(t *testing.T) {
	b := newTestbed(t, "a1")
	b.extraSettings = "[limits]\nmax_body_bytes = 2000\n"
	b.addEngine("e1", "zone-a", fastEngine())
	s := b.addPlainService("git-1", "zone-a", time.Millisecond)
	b.platform.PublishRaw(fleet.Workspace("small", "small-key", []string{"low"}, 1))
	b.start()
	host := b.addr("a1")
	good := `{"model":"notes","messages":[{"role":"user","content":"x"}],"max_tokens":1}`
	chat, git := "/v1/chat/completions", "/services/git/x"
	cases := []struct {
		name, path, body string
		headers          map[string]string
		status           int
		kind             string
	}{
		{"no key", chat, good, map[string]string{"Authorization": ""}, 401, "unknown_key"},
		{"wrong key", chat, good, map[string]string{"Authorization": "Bearer nobody"}, 401, "unknown_key"},
		{"unknown service", chat, strings.Replace(good, "notes", "poems", 1), nil, 404, "unknown_service"},
		{"plain service asked as a model", chat, strings.Replace(good, "notes", "git", 1), nil, 404, "unknown_service"},
		{"model asked as a plain service", "/services/notes/x", "", nil, 404, "unknown_service"},
		{"unknown path", "/v2/x", "", nil, 404, "unknown_service"},
		{"unknown tier", git, "", map[string]string{"Fireflyshift-Tier": "gold"}, 400, "unknown_tier"},
		{"tier not granted", git, "", map[string]string{"Authorization": "Bearer small-key", "Fireflyshift-Tier": "top"}, 403, "tier_not_granted"},
		{"deadline that is no number", git, "", map[string]string{"Fireflyshift-Deadline-Ms": "soon"}, 400, "bad_header"},
		{"deadline out of range", git, "", map[string]string{"Fireflyshift-Deadline-Ms": "99999999999999"}, 400, "bad_header"},
		{"idempotent mark", git, "", map[string]string{"Fireflyshift-Idempotent": "maybe"}, 400, "bad_header"},
		{"caller id", git, "", map[string]string{"Fireflyshift-Caller-Id": "a b"}, 400, "bad_header"},
		{"ticket", git, "", map[string]string{"Fireflyshift-Ticket": "fs1_x"}, 400, "bad_ticket"},
		{"ticket of an unknown host", git, "", map[string]string{"Fireflyshift-Ticket": "fs1_7a39_1_1_x"}, 503, "ticket_home_gone"},
		{"own id without a ticket", git, "", map[string]string{"Fireflyshift-Idempotent": "no", "Fireflyshift-Caller-Id": "op-1"}, 428, "ticket_required"},
		{"broken JSON", chat, "{", nil, 400, "bad_body"},
		{"no messages", chat, `{"model":"notes"}`, nil, 400, "bad_body"},
		{"large body", chat, `{"model":"` + strings.Repeat("x", 3000) + `"}`, nil, 413, "body_too_large"},
		{"large body of a plain call", git, strings.Repeat("x", 3000), nil, 413, "body_too_large"},
	}
	before := len(s.Runs())
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			caller := fleet.NewCaller(workspaceKey).WithHeader("Fireflyshift-Tier", "low")
			for k, v := range c.headers {
				caller = caller.WithHeader(k, v)
			}
			a := caller.Do(testCtx(t), "POST", "http://"+host+c.path, []byte(c.body))
			require.Equal(t, c.status, a.Status, "%+v", a)
			require.Equal(t, c.kind, a.ErrorKind)
			require.Contains(t, a.Text, "; ", "the message does not name the remedy")
			if c.kind != "ticket_home_gone" {
				require.Equal(t, "not run", a.Work)
			}
			if c.kind == "ticket_required" {
				retry := caller.WithHeader("Fireflyshift-Ticket", a.Ticket).Do(testCtx(t), "POST", "http://"+host+c.path, nil)
				require.True(t, retry.OK(), "%+v", retry)
				before++
			}
		})
	}
	require.Len(t, s.Runs(), before, "only the retry with its ticket may have run")
	require.Empty(t, b.runsByRequest())
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, statusForLargeHeader(t, host))
}

// statusForLargeHeader sends a header over the size limit and returns the status.
func statusForLargeHeader(t *testing.T, host string) int {
	req, err := http.NewRequest("GET", "http://"+host+"/services/git/x", nil)
	require.NoError(t, err)
	req.Header.Set("X-Large", strings.Repeat("x", 64<<10))
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against a request whose history an operator cannot find, and against wrong exit codes of fireflyctl.
func TestExplain(t *testing.T) {
	b := newTestbed(t, "a1", "a2")
	b.addEngine("e1", "zone-a", fastEngine())
	b.start()
	a := tierCaller("mid").Chat(testCtx(t), b.addr("a1"), "notes", "p", 5, true)
	require.True(t, a.OK())
	out, code := runCtl("explain", a.RequestID, "--host", b.hostSpecs["a2"].Admin, "--host", b.hostSpecs["a1"].Admin)
	require.Zero(t, code, out)
	require.Contains(t, out, "dispatched to e1")
	require.Contains(t, out, "complete answer from e1")
	_, code = runCtl("explain", "nobody", "--host", b.hostSpecs["a1"].Admin)
	require.Equal(t, 1, code)
	_, code = runCtl("status", "--host", "127.0.0.1:1")
	require.Equal(t, 3, code)
	_, code = runCtl("status", "--host", b.hostSpecs["a1"].Admin, "--host", "127.0.0.1:1")
	require.Equal(t, 4, code)
	_, code = runCtl("status")
	require.Equal(t, 2, code)
	out, code = runCtl("status", "--json", "--host", b.hostSpecs["a1"].Admin)
	require.Zero(t, code)
	require.True(t, json.Valid([]byte(out)), out)
	_, code = runCtl("watch", "--revision", "999999", "--timeout", "300ms", "--host", b.hostSpecs["a1"].Admin)
	require.Equal(t, 1, code)
}

// Guards against a checker that accepts invalid records or settings, or whose message names neither the file nor the remedy.
func TestCheckFiles(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	tier := write("tier.json", `[{"kind":"tier","name":"top","schema":1,"body":{"priority":3}}]`)
	out, code := runCtl("check", tier, "../configs/fireflyshiftd.ini", "../configs/records.json")
	require.Zero(t, code, out)
	for name, c := range map[string]struct{ text, want string }{
		"syntax.json":   {"{\n\"kind\": tier}", "line 2"},
		"priority.json": {`{"kind":"tier","name":"top","schema":1,"body":{"priority":99}}`, "give 0 (lowest) to 15"},
		"field.json":    {`{"kind":"tier","name":"top","schema":1,"body":{"prio":9}}`, "unknown field"},
		"name.json":     {`{"kind":"tier","name":"Top!","schema":1,"body":{"priority":9}}`, "lower-case letters"},
		"addr.json":     {`{"kind":"backend","name":"b","schema":1,"body":{"service":"s","zone":"z","addr":"host:80","slots":1}}`, "give an IP address and a port"},
		"key.json":      {`{"kind":"workspace","name":"w","schema":2,"body":{"keys":[{"sha256":"plain"}],"grants":{"tiers":["a"]}}}`, "SHA-256"},
		"schema.json":   {`{"kind":"workspace","name":"w","schema":7,"body":{}}`, "use schema 1 or 2"},
		"policy.json":   {`{"kind":"service","name":"w","schema":1,"body":{"kind":"plain","policy":"best"}}`, "round-robin"},
		"a.ini":         {"[host]\nid = a1\nzone = z\n[listen]\ncallers = localhost:80\npeers = 127.0.0.1:0\n", "names are not looked up"},
		"b.ini":         {"[hosts]\nid = a1\n", "unknown section"},
		"c.ini":         {"[host]\nname = a1\n", "use one of id, zone, threads"},
		"d.ini":         {"[drain]\ngrace = 5h\n", "out of range"},
		"e.ini":         {"[tls]\npeers_cert = x\n", "all three or none"},
		"f.ini":         {"[host\n", "correct the INI syntax"},
	} {
		out, code := runCtl("check", write(name, c.text))
		require.Equal(t, 1, code, "%s: %s", name, out)
		require.Contains(t, out, c.want, name)
		require.Contains(t, out, name, "the message does not name the file")
	}
	out, code = runCtl("check", filepath.Join(dir, "absent.json"))
	require.Equal(t, 1, code, out)
}

// Guards against a trace that falls apart: the spans from caller to host, from host to scheduler and from host to engine must
// all have the caller's trace ID.
func TestOneTraceOverAllHops(t *testing.T) {
	b := newTestbed(t, "a1", "a2")
	b.extraSettings = "[traces]\nexporter = stdout\n"
	b.addEngine("e1", "zone-a", fastEngine())
	b.start()
	scheduler := b.schedulerOf("notes", "zone-a")
	entry := b.otherHost("zone-a", scheduler)
	trace := "4bf92f3577b34da6a3ce929d0e0e4736"
	c := tierCaller("mid").WithHeader("Traceparent", "00-"+trace+"-00f067aa0ba902b7-01")
	require.True(t, c.Chat(testCtx(t), b.addr(entry), "notes", "p", 5, true).OK())
	for _, id := range b.hostIDs {
		b.hosts[id].Signal(15)
		require.NoError(t, b.hosts[id].Wait(waitTimeout))
	}
	entryLog, schedulerLog := b.hosts[entry].Log.String(), b.hosts[scheduler].Log.String()
	require.Regexp(t, spanPattern("caller to host", trace), entryLog)
	require.Regexp(t, spanPattern("host to host: slot", trace), entryLog)
	require.Regexp(t, spanPattern("host to backend server", trace), entryLog)
	require.Regexp(t, spanPattern("scheduler: wait for slot", trace), schedulerLog)
}

func spanPattern(name, trace string) *regexp.Regexp {
	return regexp.MustCompile(`"Name":"` + regexp.QuoteMeta(name) + `","SpanContext":\{"TraceID":"` + trace)
}

// Guards against a process without a certificate of the trusted CA that takes part at the peer port, while hosts that have one
// work together.
func TestPeersWithoutOurCertificateGetNothing(t *testing.T) {
	b := newTestbed(t, "a1", "a2", "a3")
	trustedCA, untrustedCA := newTestCA(t), newTestCA(t)
	b.addPlainService("git-1", "zone-a", time.Millisecond)
	for _, id := range b.hostIDs {
		ca := trustedCA
		if id == "a3" {
			ca = untrustedCA
		}
		spec := b.hostSpecs[id]
		spec.Routes = nil // the certificates name the real addresses
		b.hostSpecs[id] = spec
		b.extraSettings = ca.tlsSettings(t, b.dir, id)
		b.startHost(id)
	}
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool {
		s := b.status("a1")
		return len(s.Peers) == 2 && s.Peers[0].Alive
	}), "%s", b.hosts["a1"].Log)
	time.Sleep(2 * time.Second)
	for _, p := range b.status("a1").Peers {
		require.Equal(t, p.Host == "a2", p.Alive, "%+v", p)
	}
	require.True(t, tierCaller("top").Call(testCtx(t), "GET", b.addr("a2"), "git", "x", nil).OK())
}

// testCA issues test certificates.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test root"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &testCA{cert, key}
}

// tlsSettings issues a certificate to a host, writes its files and returns the INI section that names them.
func (a *testCA) tlsSettings(t *testing.T, dir, id string) string {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: id}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, id+name)
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	return "[tls]\npeers_cert = " + write(".crt", "CERTIFICATE", der) +
		"\npeers_key = " + write(".key", "EC PRIVATE KEY", keyDER) +
		"\npeers_root = " + write(".root", "CERTIFICATE", a.cert.Raw) + "\n"
}
