package front

import (
	"context"
	"net"

	"github.com/pkg/errors"
)

// Listen listens for clients on the TCP address. TCP keep-alive is off, since the idle timeout and the requests' deadlines
// already bound the life of a dead connection.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrap(err, "front")
}
