// Package store keeps retained traces on disk, in segments: files of compressed blocks.
//
// A segment begins with a line that names its format. Each block has a preamble of lengths
// and checksums, a header that summarizes its traces, and a body: the traces' records,
// compressed. A query reads the headers and decompresses only the blocks that may hold what
// it looks for. A process that is killed can leave its last block incomplete; the blocks
// before it are readable, and Open truncates the segment after them.
package store

import (
	"errors"
	"hash/crc32"
)

const (
	// segmentMagic is what each segment begins with.
	segmentMagic = "garnetline traces 1\n"
	// segmentSuffix ends the name of each segment.
	segmentSuffix = ".traces"

	// blockTarget is how many bytes of records, uncompressed, complete a block.
	blockTarget = 64 << 10
	// maxHeaderSize and maxBodySize bound, in bytes, what is read of a block. A length beyond
	// them is taken for damage.
	maxHeaderSize = 1 << 20
	maxBodySize   = 8 << 20
	// maxHeaderServers is how many servers a header lists. A block with more of them is read
	// by every query for a server.
	maxHeaderServers = 256
	// recordLengthSize is how many bytes the length before each record takes.
	recordLengthSize = 4
)

// ErrCorruptBlock is returned for a block, or a whole segment, that is damaged.
var ErrCorruptBlock = errors.New("store: broken block")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)
