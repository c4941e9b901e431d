package crowds

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/record"
	"fireflyshift/internal/standin/fleet"
	"fireflyshift/internal/standin/plain"
	"fireflyshift/internal/standin/platform"
)

// ownBed is one host on the project's own interface, with a plain service.
type ownBed struct {
	t                     *testing.T
	spec                  fleet.HostSpec
	memoryMB, descriptors int
	secure                bool
	cmd                   *exec.Cmd
	log                   *os.File
	exited                chan struct{}
	watch                 *watch
}

func newOwnBed(t *testing.T, memoryMB, descriptors int, secure bool) *ownBed {
	b := &ownBed{t: t, memoryMB: memoryMB, descriptors: descriptors, secure: secure, exited: make(chan struct{})}
	p := platform.New()
	addr, stop := fleet.Serve(p.Handler())
	t.Cleanup(stop)
	service := plain.New(time.Millisecond)
	serviceAddr, stop := fleet.Serve(service.Handler())
	t.Cleanup(stop)
	for _, r := range []record.Raw{
		fleet.Tier("top", 10, 0, 120_000),
		fleet.Workspace("crowds", key, []string{"top"}, 1),
		fleet.Service("git", record.ServicePlain, "cost", "top"),
		fleet.Backend("web", "git", "zone-a", serviceAddr, 16, "active"),
	} {
		p.PublishRaw(r)
	}
	b.spec = fleet.NewHostSpec("a1", "zone-a", addr)
	p.SetHosts([]platform.Host{{ID: "a1", Zone: "zone-a", Addr: b.spec.Peers, Role: "entry", State: "live"}})
	b.start()
	return b
}

func (b *ownBed) start() {
	dir := b.t.TempDir()
	b.spec.Extra = "[limits]\nbody_timeout = 60s\n"
	if b.secure {
		writeCertificate(b.t, dir)
		b.spec.Extra += fmt.Sprintf("[tls]\ncallers_cert = %s/crt\ncallers_key = %s/key\n", dir, dir)
	}
	text := strings.Replace(b.spec.INI(), "[host]\n", fmt.Sprintf("[host]\nmemory_mb = %d\n", b.memoryMB), 1)
	path := filepath.Join(dir, "a1.ini")
	require.NoError(b.t, os.WriteFile(path, []byte(text), 0o600))
	var err error
	b.log, err = os.Create(filepath.Join(dir, "log"))
	require.NoError(b.t, err)
	b.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s --settings %s", b.descriptors, filepath.Join(binDir, "fireflyshiftd"), path))
	b.cmd.Stdout, b.cmd.Stderr = b.log, b.log
	b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process survives a test that is killed
	require.NoError(b.t, b.cmd.Start())
	go func() {
		_ = b.cmd.Wait()
		close(b.exited)
	}()
	b.t.Cleanup(b.stop)
	require.True(b.t, fleet.Ready(waitTimeout, b.spec.Admin), "the host is not ready")
	b.watch = startWatch(b.cmd.Process.Pid, b.spec.Callers)
	b.t.Cleanup(b.watch.stop)
}

func (b *ownBed) stop() {
	_ = b.cmd.Process.Kill()
	<-b.exited
	if b.t.Failed() {
		log, _ := os.ReadFile(b.log.Name())
		b.t.Logf("end of the host's log:\n%s", log[max(0, len(log)-6000):])
	}
	_ = b.log.Close()
}

func writeCertificate(t *testing.T, dir string) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.ParseIP("127.0.0.1")}}
	cert, err := x509.CreateCertificate(rand.Reader, &c, &c, &k.PublicKey, k)
	require.NoError(t, err)
	der, err := x509.MarshalECPrivateKey(k)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "crt"), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "key"), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}), 0o600))
}

func (b *ownBed) answered() bool {
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	scheme := "http"
	if b.secure {
		scheme = "https"
	}
	req, err := http.NewRequest(http.MethodPost, scheme+"://"+b.spec.Callers+"/services/git/x", bytes.NewReader(ordinaryBody))
	require.NoError(b.t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

func (b *ownBed) endure(size int, send sender) {
	b.t.Helper()
	c := gatherAt(b.t, b.spec.Callers, size, true, send)
	c.awaitSent(settle)
	for range besideCrowd {
		require.Eventually(b.t, b.answered, waitTimeout, pollPause, "an ordinary request is answered while the crowd stays")
		time.Sleep(comeBackPause / 2)
	}
	c.leave()
	require.Eventually(b.t, b.answered, waitTimeout, pollPause, "an ordinary request is answered after the crowd has gone")
	b.watch.stop()
	b.t.Logf("peak of memory %d KB, of it unread in the kernel %d KB; of descriptors %d", b.watch.memoryKB, b.watch.unreadKB, b.watch.descriptors)
	require.LessOrEqual(b.t, b.watch.memoryKB, b.memoryMB<<10, "memory in KB")
	require.LessOrEqual(b.t, b.watch.descriptors, b.descriptors, "descriptors")
}

// Guards against a host on the project's own interface that ends because many callers have sent a body up to its last byte.
func TestOwnInterfaceCrowdOfBodies(t *testing.T) {
	for name, framing := range map[string]string{"with a length": "Content-Length: 1048576", "in chunks": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			b := newOwnBed(t, 96, 4100, false)
			b.endure(150, func(_ int, c net.Conn) error {
				if _, err := io.WriteString(c, "POST /services/git/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+key+"\r\n"+framing+"\r\n\r\n"); err != nil {
					return err
				}
				piece := strings.Repeat("b", 16<<10)
				if strings.Contains(framing, "chunked") {
					piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
				}
				for range 63 {
					if _, err := io.WriteString(c, piece); err != nil {
						return err
					}
				}
				return nil
			})
		})
	}
}

// Guards against connections that take all descriptors of a host on the project's own interface, also in the middle of a TLS handshake.
func TestOwnInterfaceCrowdOfConnections(t *testing.T) {
	for name, secure := range map[string]bool{"plain": false, "TLS": true} {
		for sent, text := range map[string]string{"nothing": "", "half a head": "GET / HTTP/1.1\r\nHost: x\r\n", "the beginning of a handshake": "\x16\x03\x01"} {
			t.Run(name+", "+sent, func(t *testing.T) {
				b := newOwnBed(t, 96, fewDescriptors, secure)
				b.endure(connectionCrowd, sends(func() string { return text }))
			})
		}
	}
}
