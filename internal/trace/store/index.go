package store

import (
	"os"

	"garnetline/internal/trace"
)

// Index holds the headers of all blocks in a folder's segments. Blocks that are written after
// Read are not included. An Index is safe for concurrent use.
type Index struct {
	segments []indexedSegment // oldest first
}

// indexedSegment is a segment with the locations and headers of its blocks.
type indexedSegment struct {
	path   string
	blocks []blockRef
}

// Read reads the block headers of a folder's segments. It ignores files that are not segments
// and files that cannot be read.
func Read(folder string) (*Index, error) {
	paths, err := segmentPaths(folder)
	if err != nil {
		return nil, err
	}
	index := &Index{}
	for _, path := range paths {
		if segment, ok := indexSegment(path); ok {
			index.segments = append(index.segments, segment)
		}
	}
	return index, nil
}

// indexSegment reads the headers of a segment's blocks. It reports false if the file cannot be
// read or is not a segment.
func indexSegment(path string) (indexedSegment, bool) {
	file, err := os.Open(path)
	if err != nil {
		return indexedSegment{}, false // for example, a Writer removed the file
	}
	defer closeSegment(file)
	segment := indexedSegment{path: path}
	err = scanSegment(file, func(block blockRef) bool {
		segment.blocks = append(segment.blocks, block)
		return true
	})
	return segment, err == nil
}

// Stat returns the numbers of blocks, traces and spans.
func (x *Index) Stat() (blocks, traces, spans int) {
	for _, segment := range x.segments {
		for i := range segment.blocks {
			blocks++
			traces += int(segment.blocks[i].header.traceCount)
			spans += int(segment.blocks[i].header.spanCount)
		}
	}
	return blocks, traces, spans
}

// Query calls visit with each trace that the filter selects, until visit returns false. The
// traces are in the order in which they were added. Query returns the number of blocks that it
// read and the first error. After an error in one block, Query continues with the next block.
func (x *Index) Query(filter Filter, visit func(*trace.Trace) bool) (int, error) {
	q := &query{filter: filter, visit: visit}
	for i := range x.segments {
		if q.stopped {
			break
		}
		q.searchSegment(&x.segments[i])
	}
	return q.blocksRead, q.firstErr
}

// query holds the state of one call of Index.Query.
type query struct {
	filter     Filter
	visit      func(*trace.Trace) bool
	stopped    bool // visit returned false
	blocksRead int
	firstErr   error
}

// searchSegment visits the matching traces of a segment. It does not open the segment's file if
// no block header matches the filter.
func (q *query) searchSegment(segment *indexedSegment) {
	i := q.nextMatch(segment.blocks, 0)
	if i == len(segment.blocks) {
		return
	}
	file, err := os.Open(segment.path)
	if err != nil {
		return // for example, a Writer removed the file
	}
	defer closeSegment(file)
	for i < len(segment.blocks) && !q.stopped {
		q.searchBlock(file, &segment.blocks[i])
		i = q.nextMatch(segment.blocks, i+1)
	}
}

// nextMatch searches the blocks from startIndex to the end. It returns the index of the first
// block that may contain a matching trace, or the number of blocks if there is no such block.
func (q *query) nextMatch(blocks []blockRef, startIndex int) int {
	for i := startIndex; i < len(blocks); i++ {
		if q.filter.mayMatch(&blocks[i].header) {
			return i
		}
	}
	return len(blocks)
}

func (q *query) searchBlock(file *os.File, block *blockRef) {
	q.blocksRead++
	body, err := block.readBody(file)
	if err == nil {
		err = forEachTrace(body, q.visitMatching)
	}
	if q.firstErr == nil {
		q.firstErr = err
	}
}

// visitMatching calls visit with the trace if the filter selects the trace. It reports whether
// the query must continue.
func (q *query) visitMatching(t *trace.Trace) bool {
	if q.filter.Matches(t) {
		q.stopped = !q.visit(t)
	}
	return !q.stopped
}
