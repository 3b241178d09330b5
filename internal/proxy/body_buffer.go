package proxy

import (
	"strconv"
	"sync"
)

// This file holds the buffers through which bodies are streamed.

const (
	// bodyBufferSize is how many bytes of a body a buffer takes that is reserved from a budget.
	bodyBufferSize = 16 << 10
	// smallBufferSize is how many a buffer takes that is used where no memory is left. A connection may have one of
	// them at any time, so that its body goes on.
	smallBufferSize = 2 << 10

	chunkHeadSize = 8 // room for the chunk size in hexadecimal digits and CRLF
	chunkTailSize = 2 // CRLF
)

// bodyBuffer holds a part of a body, with room before and after it for the framing of a chunk.
type bodyBuffer struct {
	bytes  []byte
	length int // of the part
}

// newBodyBuffer returns a buffer for parts of up to size bytes.
func newBodyBuffer(size int) *bodyBuffer {
	return &bodyBuffer{bytes: make([]byte, chunkHeadSize+size+chunkTailSize)}
}

// largeBuffers and smallBuffers hold buffers that are not in use.
var (
	largeBuffers = sync.Pool{New: func() any { return newBodyBuffer(bodyBufferSize) }}
	smallBuffers = sync.Pool{New: func() any { return newBodyBuffer(smallBufferSize) }}
)

// reserveBuffer returns a buffer of bodyBufferSize, or nil if the budget has too little. It leaves a quarter of the
// budget to bodies that are kept whole.
func (m *memoryBudget) reserveBuffer() *bodyBuffer {
	if m != nil && m.available.Load() < m.limit.Load()/4+bodyBufferSize || !m.reserve(bodyBufferSize) {
		return nil
	}
	return largeBuffers.Get().(*bodyBuffer)
}

// acquireBuffer returns a buffer of bodyBufferSize, or one of smallBufferSize if the budget has too little.
func (m *memoryBudget) acquireBuffer() *bodyBuffer {
	if b := m.reserveBuffer(); b != nil {
		return b
	}
	return smallBuffers.Get().(*bodyBuffer)
}

// freeBuffer takes a buffer back.
func (m *memoryBudget) freeBuffer(b *bodyBuffer) {
	b.length = 0
	if len(b.space()) == smallBufferSize {
		smallBuffers.Put(b)
		return
	}
	largeBuffers.Put(b)
	m.release(bodyBufferSize)
}

// space returns the part of the buffer for bytes of a body.
func (b *bodyBuffer) space() []byte { return b.bytes[chunkHeadSize : len(b.bytes)-chunkTailSize] }

// data returns the bytes of the body.
func (b *bodyBuffer) data() []byte { return b.space()[:b.length] }

// framed returns the bytes of the body as they are written to a connection: as one chunk if chunked, else as they are.
func (b *bodyBuffer) framed(chunked bool) []byte {
	if !chunked || b.length == 0 { // an empty chunk would end the body
		return b.data()
	}
	head := strconv.AppendInt(nil, int64(b.length), 16)
	head = append(head, "\r\n"...)
	copy(b.bytes[chunkHeadSize-len(head):], head)
	copy(b.bytes[chunkHeadSize+b.length:], "\r\n")
	return b.bytes[chunkHeadSize-len(head) : chunkHeadSize+b.length+chunkTailSize]
}
