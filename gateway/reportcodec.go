package gateway

import (
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
)

// encodedReport is an encoded load report. A report goes to all gateways at the links of one kind, and is encoded once for them.
type encodedReport []byte

// reportCodec is the codec of protobuf messages that also takes encoded reports.
type reportCodec struct {
	encoding.CodecV2
}

func newReportCodec() reportCodec { return reportCodec{encoding.GetCodecV2(proto.Name)} }

// Marshal returns the wire format of a message.
func (c reportCodec) Marshal(v any) (mem.BufferSlice, error) {
	if b, ok := v.(encodedReport); ok {
		return mem.BufferSlice{mem.SliceBuffer(b)}, nil
	}
	return c.CodecV2.Marshal(v)
}
