package store

import (
	"os"

	"garnetline/internal/trace"
)

// Index knows the heads of all blocks of a folder. It is safe for concurrent use once
// it is made, and sees what had been written by then.
type Index struct {
	files  []string
	blocks [][]blockRef // by file
}

// Read makes an Index of a folder. Files that are no segments are passed over.
func Read(folder string) (*Index, error) {
	paths, err := segmentPaths(folder)
	if err != nil {
		return nil, err
	}
	x := &Index{}
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			continue // removed meanwhile
		}
		var refs []blockRef
		err = scanSegment(f, func(r blockRef) bool { refs = append(refs, r); return true })
		f.Close()
		if err == nil {
			x.files, x.blocks = append(x.files, p), append(x.blocks, refs)
		}
	}
	return x, nil
}

// Stat tells how many blocks, traces and spans there are.
func (x *Index) Stat() (blocks, traces, spans int) {
	for _, refs := range x.blocks {
		for _, r := range refs {
			blocks, traces, spans = blocks+1, traces+int(r.header.traceCount), spans+int(r.header.spanCount)
		}
	}
	return blocks, traces, spans
}

// Query calls do with each trace that f wants, in the order in which they were kept,
// until it returns false. It returns how many blocks it had to read, and the first
// error: a block that cannot be read is passed over.
func (x *Index) Query(f Filter, do func(*trace.Trace) bool) (read int, err error) {
	for i, path := range x.files {
		var file *os.File
		for j := range x.blocks[i] {
			r := &x.blocks[i][j]
			if !f.mayMatch(&r.header) {
				continue
			}
			if file == nil {
				opened, e := os.Open(path)
				if e != nil {
					break // removed meanwhile
				}
				file = opened
			}
			read++
			body, e := r.readBody(file)
			more := true
			if e == nil {
				e = forEachTrace(body, func(t *trace.Trace) bool {
					more = !f.Matches(t) || do(t)
					return more
				})
			}
			if err == nil {
				err = e
			}
			if !more {
				file.Close()
				return read, err
			}
		}
		if file != nil {
			file.Close()
		}
	}
	return read, err
}
