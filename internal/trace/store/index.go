package store

import (
	"os"

	"garnetline/internal/trace"
)

// Index holds the headers of all blocks of a folder, as they were when it was read. It is
// safe for concurrent use.
type Index struct {
	segments []indexedSegment // the oldest first
}

// indexedSegment is a segment with its blocks.
type indexedSegment struct {
	path   string
	blocks []blockRef
}

// Read reads the headers of a folder's segments. It ignores files that are not segments or
// that cannot be read.
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

func indexSegment(path string) (indexedSegment, bool) {
	file, err := os.Open(path)
	if err != nil {
		return indexedSegment{}, false // removed by a Writer
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

// Query calls visit with each trace that the filter selects, in the order in which they were
// added, until it returns false. It returns how many blocks it read, and the first error: a
// block that cannot be read is skipped, and the others are still visited.
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

// query holds the state of one Query.
type query struct {
	filter     Filter
	visit      func(*trace.Trace) bool
	stopped    bool // visit returned false
	blocksRead int
	firstErr   error
}

// searchSegment visits the traces of a segment. It does not open the file if no header matches.
func (q *query) searchSegment(segment *indexedSegment) {
	i := q.nextMatch(segment.blocks, 0)
	if i == len(segment.blocks) {
		return
	}
	file, err := os.Open(segment.path)
	if err != nil {
		return // removed by a Writer
	}
	defer closeSegment(file)
	for i < len(segment.blocks) && !q.stopped {
		q.searchBlock(file, &segment.blocks[i])
		i = q.nextMatch(segment.blocks, i+1)
	}
}

// nextMatch returns the place of the next block that may hold what the query looks for, or
// the number of blocks if there is none.
func (q *query) nextMatch(blocks []blockRef, from int) int {
	for i := from; i < len(blocks); i++ {
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

// visitMatching visits a trace that the filter selects. It reports whether to go on.
func (q *query) visitMatching(t *trace.Trace) bool {
	if q.filter.Matches(t) {
		q.stopped = !q.visit(t)
	}
	return !q.stopped
}
