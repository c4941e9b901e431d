package peer

import (
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"fireflyshift/internal/member"
	"fireflyshift/internal/peer/peerpb"
)

// frameOverhead is the number of bytes that gRPC and HTTP/2 add to a message: a 5-byte prefix and a 9-byte frame header.
const frameOverhead = 14

func sizeOf(b *peerpb.Batch) int { return proto.Size(b) + frameOverhead }

// Receiver handles what other hosts send. Its methods may block, which slows the sender down through flow control.
type Receiver interface {
	Linked(h member.Host, incarnation uint64)
	Unlinked(host string, incarnation uint64)
	Message(from string, incarnation uint64, m *peerpb.Message)
}

// Server implements the receiving side of links.
type Server struct {
	peerpb.UnimplementedPeerServer
	receiver Receiver
	count    Counter
}

// NewServer returns a gRPC server that passes messages to a Receiver and counts their bytes.
func NewServer(creds credentials.TransportCredentials, to Receiver, received Counter) *grpc.Server {
	s := grpc.NewServer(
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.ReadBufferSize(4<<10), grpc.WriteBufferSize(4<<10),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: 2 * time.Second}),
	)
	peerpb.RegisterPeerServer(s, &Server{receiver: to, count: received})
	return s
}

// Link serves one incoming stream. The first batch must identify the sender.
func (s *Server) Link(st grpc.ClientStreamingServer[peerpb.Batch, peerpb.LinkClosed]) error {
	first, err := st.Recv()
	if err != nil {
		return err
	}
	from := first.GetFrom()
	if from.GetHost() == "" || from.GetIncarnation() == 0 {
		return status.Error(codes.InvalidArgument, "the first batch does not identify the sender; use the same protocol version")
	}
	s.receiver.Linked(member.Host{ID: from.Host, Zone: from.Zone, Addr: from.Addr}, from.Incarnation)
	defer s.receiver.Unlinked(from.Host, from.Incarnation)
	for {
		b, err := st.Recv()
		if errors.Is(err, io.EOF) {
			return st.SendAndClose(&peerpb.LinkClosed{})
		}
		if err != nil {
			return err
		}
		s.count.Inc(int64(sizeOf(b)))
		for _, m := range b.Messages {
			s.receiver.Message(from.Host, from.Incarnation, m)
		}
	}
}
