package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"slices"

	"github.com/klauspost/compress/s2"

	"garnetline/internal/trace"
)

// preambleSize is the size of a block's preamble, in bytes.
const preambleSize = 16

// preamble is the first part of a block. It contains the sizes in bytes and the CRC-32C
// checksums of the block's header and body.
type preamble struct {
	headerSize, bodySize         uint32
	headerChecksum, bodyChecksum uint32
}

// put writes the stored form of the preamble to the first preambleSize bytes of dst.
func (p preamble) put(dst []byte) {
	binary.BigEndian.PutUint32(dst[0:], p.headerSize)
	binary.BigEndian.PutUint32(dst[4:], p.bodySize)
	binary.BigEndian.PutUint32(dst[8:], p.headerChecksum)
	binary.BigEndian.PutUint32(dst[12:], p.bodyChecksum)
}

func parsePreamble(encoded *[preambleSize]byte) preamble {
	return preamble{
		headerSize:     binary.BigEndian.Uint32(encoded[0:]),
		bodySize:       binary.BigEndian.Uint32(encoded[4:]),
		headerChecksum: binary.BigEndian.Uint32(encoded[8:]),
		bodyChecksum:   binary.BigEndian.Uint32(encoded[12:]),
	}
}

// validSizes reports whether the sizes are within the limits for a header and a body.
func (p preamble) validSizes() bool {
	return p.headerSize <= maxHeaderSize && p.bodySize >= 1 && p.bodySize <= maxBodySize
}

// blockBuilder collects the traces of one block.
type blockBuilder struct {
	records []byte // records, each preceded by its length
	header  blockHeader
}

// empty reports whether the block has no traces.
func (b *blockBuilder) empty() bool { return b.header.traceCount == 0 }

// full reports whether the size of the records has reached blockTargetSize. A full block must be
// written.
func (b *blockBuilder) full() bool { return len(b.records) >= blockTargetSize }

func (b *blockBuilder) add(t *trace.Trace) {
	b.header.add(t)
	lengthOffset := len(b.records)
	recordOffset := lengthOffset + recordLengthSize
	b.records = append(b.records, make([]byte, recordLengthSize)...)
	b.records = trace.Append(b.records, t)
	binary.BigEndian.PutUint32(b.records[lengthOffset:], uint32(len(b.records)-recordOffset))
}

// finish returns the stored form of the block and resets the builder for the next block.
func (b *blockBuilder) finish() []byte {
	slices.Sort(b.header.fingerprints)
	encoded := make([]byte, preambleSize, b.expectedSize())
	encoded = b.header.append(encoded)
	bodyOffset := len(encoded)
	encoded = append(encoded, s2.Encode(nil, b.records)...)
	header := encoded[preambleSize:bodyOffset]
	body := encoded[bodyOffset:]
	preamble{
		headerSize:     uint32(len(header)),
		bodySize:       uint32(len(body)),
		headerChecksum: crc32.Checksum(header, castagnoli),
		bodyChecksum:   crc32.Checksum(body, castagnoli),
	}.put(encoded)
	b.records = b.records[:0]
	b.header = blockHeader{}
	return encoded
}

// expectedSize returns an estimate of the block's size in bytes. The estimate includes half of
// the size of the records, because the records compress to less than half of their size.
func (b *blockBuilder) expectedSize() int {
	const typicalHeaderSize = 1024
	return preambleSize + typicalHeaderSize + len(b.records)/2
}

// blockRef is the location of a block in a segment, with the block's header. Offsets are in
// bytes from the start of the segment.
type blockRef struct {
	offset       int64 // offset of the preamble
	size         int64 // size of the whole block, in bytes
	bodyOffset   int64
	bodyChecksum uint32
	header       blockHeader
}

// end returns the offset of the first byte after the block.
func (r *blockRef) end() int64 { return r.offset + r.size }

// readBlockRef reads the preamble and the header of the block at the given offset. It reports false
// if the preamble or the header is corrupt, or if the block is incomplete. It does not verify the
// checksum of the body; readBody does.
func readBlockRef(segment io.ReaderAt, offset int64) (blockRef, bool) {
	var encoded [preambleSize]byte
	if _, err := segment.ReadAt(encoded[:], offset); err != nil {
		return blockRef{}, false
	}
	parsedPreamble := parsePreamble(&encoded)
	if !parsedPreamble.validSizes() {
		return blockRef{}, false
	}
	header := make([]byte, parsedPreamble.headerSize)
	headerOffset := offset + preambleSize
	if _, err := segment.ReadAt(header, headerOffset); err != nil {
		return blockRef{}, false
	}
	if crc32.Checksum(header, castagnoli) != parsedPreamble.headerChecksum {
		return blockRef{}, false
	}
	bodyOffset := headerOffset + int64(parsedPreamble.headerSize)
	end := bodyOffset + int64(parsedPreamble.bodySize)
	var lastByte [1]byte
	if _, err := segment.ReadAt(lastByte[:], end-1); err != nil {
		return blockRef{}, false
	}
	parsedHeader, err := parseHeader(header)
	if err != nil {
		return blockRef{}, false
	}
	return blockRef{
		offset:       offset,
		size:         end - offset,
		bodyOffset:   bodyOffset,
		bodyChecksum: parsedPreamble.bodyChecksum,
		header:       parsedHeader,
	}, true
}

// readBody reads the body of the block and verifies its checksum. It returns ErrCorruptBlock if
// the checksum does not match.
func (r *blockRef) readBody(segment io.ReaderAt) ([]byte, error) {
	body := make([]byte, r.end()-r.bodyOffset)
	if _, err := segment.ReadAt(body, r.bodyOffset); err != nil {
		return nil, err
	}
	if crc32.Checksum(body, castagnoli) != r.bodyChecksum {
		return nil, fmt.Errorf("%w: checksum mismatch in the body of the block at offset %d", ErrCorruptBlock, r.offset)
	}
	return body, nil
}

// forEachTrace calls visit with each trace of a block's body until visit returns false.
func forEachTrace(body []byte, visit func(*trace.Trace) bool) error {
	records, err := decompress(body)
	if err != nil {
		return err
	}
	for len(records) > 0 {
		record, rest, ok := splitRecord(records)
		if !ok {
			return fmt.Errorf("%w: incomplete record in the last %d bytes of the uncompressed block body", ErrCorruptBlock, len(records))
		}
		decoded, err := trace.Decode(record)
		if err != nil {
			return err
		}
		if !visit(decoded) {
			return nil
		}
		records = rest
	}
	return nil
}

// decompress returns the uncompressed records of a block's body.
func decompress(body []byte) ([]byte, error) {
	size, err := s2.DecodedLen(body)
	if err != nil || size > maxBodySize {
		return nil, fmt.Errorf("%w: expected an uncompressed size of at most %d bytes at the start of a block body of %d bytes, got size %d (0 if the size is unreadable)", ErrCorruptBlock, maxBodySize, len(body), size)
	}
	records, err := s2.Decode(nil, body)
	if err != nil {
		return nil, fmt.Errorf("%w: invalid compressed data in a block body of %d bytes", ErrCorruptBlock, len(body))
	}
	return records, nil
}

// splitRecord splits the first record off a list of records. It returns the first record without
// the length that precedes it, and the remaining list. It reports false if the first record is
// incomplete.
func splitRecord(records []byte) (record, rest []byte, ok bool) {
	if len(records) < recordLengthSize {
		return nil, nil, false
	}
	size := uint64(binary.BigEndian.Uint32(records))
	records = records[recordLengthSize:]
	if size > uint64(len(records)) {
		return nil, nil, false
	}
	return records[:size], records[size:], true
}
