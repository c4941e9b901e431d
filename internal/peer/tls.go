package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/gravitational/trace"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"fireflyshift/internal/fault"
)

// Credentials returns the transport credentials for serving and dialing. Without files, links are not encrypted.
// With files, both sides authenticate with certificates signed by the root.
func Credentials(cert, key, root string) (server, client credentials.TransportCredentials, err error) {
	if cert == "" {
		return insecure.NewCredentials(), insecure.NewCredentials(), nil
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, nil, fault.Invalidf("[tls] peers_cert, peers_key", "give a PEM certificate and its key", "%v", err)
	}
	pem, err := os.ReadFile(root)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, fault.Invalidf("[tls] peers_root", "give PEM certificates", "no certificate in %s", root)
	}
	serving := &tls.Config{Certificates: []tls.Certificate{pair}, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13}
	dialing := &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool, MinVersion: tls.VersionTLS13}
	return credentials.NewTLS(serving), credentials.NewTLS(dialing), nil
}
