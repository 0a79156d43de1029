// Package store keeps retained traces on disk, in segments: files of compressed blocks.
//
// A segment begins with a magic line that identifies the format. Each block has a preamble with
// sizes and checksums, a header that summarizes its traces, and a body with the compressed
// records of the traces. A query reads the headers and decompresses only the blocks that may
// contain matching traces. If a process is killed, the last block of its segment may be
// incomplete. The blocks before it stay readable, and Open removes the incomplete block.
package store

import (
	"errors"
	"hash/crc32"
)

const (
	// segmentMagic is the first line of each segment.
	segmentMagic = "garnetline traces 1\n"
	// segmentSuffix is the file name suffix of each segment.
	segmentSuffix = ".traces"

	// blockTargetSize is the size of uncompressed records, in bytes. A block is written when its
	// records have reached this size.
	blockTargetSize = 64 << 10
	// maxHeaderSize and maxBodySize are the maximum sizes, in bytes, of a block's header and
	// body. A block with a larger size in its preamble is treated as corrupt.
	maxHeaderSize = 1 << 20
	maxBodySize   = 8 << 20
	// maxHeaderServers is the maximum number of servers that a header lists. If a block has more
	// servers, every query for a server reads the block.
	maxHeaderServers = 256
	// recordLengthSize is the size, in bytes, of the length that precedes each record.
	recordLengthSize = 4
)

// ErrCorruptBlock is the error for a block with invalid content and for a file that is not a
// segment.
var ErrCorruptBlock = errors.New("store: corrupt block")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)
