// Package encoder defines the protobuf messages that instances exchange and keep in the store, and reads and writes them
// as length-prefixed frames on a stream.
//
// peer.pb.go is generated from peer.proto with
//
//	protoc --go_out=. --go_opt=module=carobbend.example/carobbend encoder/peer.proto
//
// # Usage
//
//	err := encoder.WriteFrame(w, &encoder.Frame{Body: &encoder.Frame_Ping{Ping: &encoder.Ping{N: 1}}})
//	frame, err := encoder.ReadFrame(r)
package encoder

import (
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
)

// MaxFrameBytes bounds one frame; it is large enough for a store value of the greatest size and its envelope.
const MaxFrameBytes = 1<<20 + 64<<10

// ErrorKind says which step of encoding or decoding failed.
type ErrorKind string

const (
	// KindRead says that no complete valid frame could be read.
	KindRead ErrorKind = "read"
	// KindWrite says that the frame was not completely written.
	KindWrite ErrorKind = "write"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("encoder %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// WriteFrame writes one length-prefixed frame.
func WriteFrame(w io.Writer, f *Frame) error {
	if _, err := protodelim.MarshalTo(w, f); err != nil {
		return &Error{Op: "write frame", Kind: KindWrite, Err: err}
	}
	return nil
}

// ReadFrame reads one length-prefixed frame of at most MaxFrameBytes.
func ReadFrame(r protodelim.Reader) (*Frame, error) {
	f := &Frame{}
	opts := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}
	if err := opts.UnmarshalFrom(r, f); err != nil {
		return nil, &Error{Op: "read frame", Kind: KindRead, Err: err}
	}
	return f, nil
}
