package callpath

import (
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/memory"
)

const (
	firstBlockBytes = 512
	maxBlockBytes   = 64 << 10
)

// errBufferFull means that no memory is left for what follows.
var errBufferFull = errors.New("no memory is left for the buffer")

// freeBlocks holds unused blocks of maxBlockBytes.
var freeBlocks = sync.Pool{New: func() any { return new([maxBlockBytes]byte) }}

// blockBuffer is a buffer of blocks, each twice as large as the one before up to maxBlockBytes. Unlike
// a bytes.Buffer it does not copy what it holds as it grows, which leaves as much again as garbage.
type blockBuffer struct {
	blocks [][]byte
	// account holds the memory of the blocks.
	account *memory.Account
	// used is the number of bytes in the last block, read those of the first block that have
	// been read.
	used, read int
}

// ReadFrom implements io.ReaderFrom.
func (b *blockBuffer) ReadFrom(r io.Reader) (total int64, err error) {
	for {
		if len(b.blocks) == 0 || b.used == len(b.blocks[len(b.blocks)-1]) {
			if !b.grow() {
				return total, errBufferFull
			}
		}
		n, err := r.Read(b.blocks[len(b.blocks)-1][b.used:])
		b.used += n
		total += int64(n)
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

// grow appends a block. False: no memory is left for it.
func (b *blockBuffer) grow() bool {
	size := firstBlockBytes
	if n := len(b.blocks); n > 0 {
		size = min(2*len(b.blocks[n-1]), maxBlockBytes)
	}
	if !b.account.Take(int64(size)) {
		return false
	}
	if size == maxBlockBytes {
		b.blocks = append(b.blocks, freeBlocks.Get().(*[maxBlockBytes]byte)[:])
	} else {
		b.blocks = append(b.blocks, make([]byte, size))
	}
	b.used = 0
	return true
}

// Read implements io.Reader. What has been read is discarded.
func (b *blockBuffer) Read(p []byte) (int, error) {
	for len(b.blocks) > 0 {
		block := b.blocks[0]
		if len(b.blocks) == 1 {
			block = block[:b.used]
		}
		if b.read < len(block) {
			n := copy(p, block[b.read:])
			b.read += n
			return n, nil
		}
		b.discardFirst()
	}
	return 0, io.EOF
}

// discardFirst removes the first block.
func (b *blockBuffer) discardFirst() {
	block := b.blocks[0]
	if len(block) == maxBlockBytes {
		freeBlocks.Put((*[maxBlockBytes]byte)(block))
	}
	b.account.Give(int64(len(block)))
	b.blocks[0] = nil
	b.blocks, b.read = b.blocks[1:], 0
}
