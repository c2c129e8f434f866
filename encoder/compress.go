package encoder

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// KindCompressed says that compressed bytes are damaged or too large.
const KindCompressed ErrorKind = "compressed"

// Compress returns b compressed with gzip.
func Compress(b []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := gzip.NewWriterLevel(&buf, gzip.BestCompression)
	if err != nil {
		return nil, &Error{Op: "compress", Kind: KindCompressed, Err: err}
	}
	if _, err := w.Write(b); err != nil {
		return nil, &Error{Op: "compress", Kind: KindCompressed, Err: err}
	}
	if err := w.Close(); err != nil {
		return nil, &Error{Op: "compress", Kind: KindCompressed, Err: err}
	}
	return buf.Bytes(), nil
}

// Decompress reverses Compress. A result of more than MaxFrameBytes is an error, which bounds the memory that a peer's
// compressed value can take.
func Decompress(b []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, &Error{Op: "decompress", Kind: KindCompressed, Err: err}
	}
	out, err := io.ReadAll(io.LimitReader(r, MaxFrameBytes+1))
	if err != nil {
		return nil, &Error{Op: "decompress", Kind: KindCompressed, Err: err}
	}
	if len(out) > MaxFrameBytes {
		return nil, &Error{Op: "decompress", Kind: KindCompressed, Err: fmt.Errorf("more than %d bytes", MaxFrameBytes)}
	}
	return out, nil
}
