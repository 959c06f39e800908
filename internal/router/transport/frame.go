package transport

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// protocolVersion is the first byte of each frame. A peer that sends another version is disconnected.
const protocolVersion = 1

// MaxBody is the maximum size of a message body, in bytes.
const MaxBody = 16 << 20

// frameKind is the role of a frame in the protocol, as opposed to the Kind of the message that it carries.
type frameKind uint8

const (
	frameRequest frameKind = iota + 1
	frameOneWay
	frameResponse
	frameError
	frameProbe
	frameProbeResponse
)

// frame is the unit of transmission on a connection. The call ID pairs a response or error with its request.
type frame struct {
	frameKind frameKind
	kind      Kind
	callID    uint32
	body      []byte
}

// headerSize is the size in bytes of version, frame kind, message kind, call ID and body length.
const headerSize = 1 + 1 + 1 + 4 + 4

// appendFrame appends the encoding of f to buffer.
func appendFrame(buffer []byte, f frame) []byte {
	buffer = append(buffer, protocolVersion, byte(f.frameKind), byte(f.kind))
	buffer = binary.BigEndian.AppendUint32(buffer, f.callID)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(f.body)))
	return append(buffer, f.body...)
}

// readFrame reads and decodes the next frame. It uses header, of at least headerSize bytes, as scratch space.
func readFrame(reader io.Reader, header []byte) (frame, error) {
	if _, err := io.ReadFull(reader, header[:headerSize]); err != nil {
		return frame{}, err
	}
	if header[0] != protocolVersion {
		return frame{}, errors.Wrapf(ErrProtocol, "version %d", header[0])
	}
	size := binary.BigEndian.Uint32(header[7:])
	if size > MaxBody {
		return frame{}, errors.Wrapf(ErrProtocol, "body of %d bytes", size)
	}
	f := frame{frameKind: frameKind(header[1]), kind: Kind(header[2]), callID: binary.BigEndian.Uint32(header[3:])}
	if size == 0 {
		return f, nil
	}
	f.body = make([]byte, size)
	_, err := io.ReadFull(reader, f.body)
	return f, err
}
