package job

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"math/bits"
	"strings"
)

const (
	// tasksPerChunk is the number of tasks whose completion is stored under one key:
	// its text is well below the smallest value limit (16 KiB) that a state service
	// has.
	tasksPerChunk = 32768

	// wordBits is the number of tasks in a word of the set of completed tasks.
	wordBits = 1 << wordShift

	// wordShift is the binary logarithm of wordBits.
	wordShift = 6

	// wordBytes is the size of such a word.
	wordBytes = wordBits / 8
)

// Chunk is the durable set of completed tasks among tasksPerChunk of them.
type Chunk struct {
	Bits string `codec:"bits"`
}

// ChunkKey is the key of one chunk.
func (j *Job) ChunkKey(chunk int) string {
	return fmt.Sprintf("%s%s/%d", DonePrefix, j.ID, chunk)
}

// SplitChunkKey splits the key of a chunk into its job's id, empty where the key
// names none, and its number.
func SplitChunkKey(key string) (id string, chunk int, err error) {
	name := strings.TrimPrefix(key, DonePrefix)
	slash := strings.LastIndexByte(name, '/')
	if slash < 0 {
		return "", 0, nil
	}
	if _, err := fmt.Sscanf(name[slash+1:], "%d", &chunk); err != nil {
		return "", 0, fmt.Errorf("key %s: %w", key, err)
	}
	return name[:slash], chunk, nil
}

// DirtyChunks returns the chunks that have not been stored as they are now.
func (j *Job) DirtyChunks() []int {
	var out []int
	for c := range j.dirtyChunks {
		out = append(out, c)
	}
	return out
}

// EncodeChunk encodes a chunk and marks it as clean; a failed write has to mark it
// again with MarkChunkDirty.
func (j *Job) EncodeChunk(chunk int) Chunk {
	first := chunk * tasksPerChunk / wordBits
	end := min(len(j.done), first+tasksPerChunk/wordBits)
	b := make([]byte, 0, (end-first)*wordBytes)
	for _, word := range j.done[first:end] {
		b = binary.LittleEndian.AppendUint64(b, word)
	}
	delete(j.dirtyChunks, chunk)
	return Chunk{Bits: base64.StdEncoding.EncodeToString(b)}
}

// MarkChunkDirty notes that a chunk has to be stored.
func (j *Job) MarkChunkDirty(chunk int) { j.dirtyChunks[chunk] = true }

// SetChunkVersion notes that a chunk may exist as a key, and its version; 0: it did
// not when it was last read.
func (j *Job) SetChunkVersion(chunk int, version uint64) { j.chunkVersions[chunk] = version }

// ChunkVersion is the version of a chunk's key as far as it is known; 0: none.
func (j *Job) ChunkVersion(chunk int) uint64 { return j.chunkVersions[chunk] }

// StoredChunks returns the chunks that may exist as keys.
func (j *Job) StoredChunks() []int {
	var out []int
	for c := range j.chunkVersions {
		out = append(out, c)
	}
	return out
}

// LoadChunk takes in a stored chunk.
func (j *Job) LoadChunk(chunk int, stored Chunk, version uint64) error {
	b, err := base64.StdEncoding.DecodeString(stored.Bits)
	if err != nil {
		return fmt.Errorf("job %s: chunk %d: %w", j.ID, chunk, err)
	}
	first := chunk * tasksPerChunk / wordBits
	for i, x := range b {
		if word := first + i/wordBytes; word < len(j.done) {
			j.done[word] |= uint64(x) << (8 * (i % wordBytes))
		}
	}
	if used := j.Tasks % wordBits; used != 0 {
		j.done[len(j.done)-1] &= 1<<used - 1 // bits beyond the last task
	}
	j.recountDone()
	j.chunkVersions[chunk] = version
	return nil
}

// recountDone counts the completed tasks anew.
func (j *Job) recountDone() {
	j.DoneCount = 0
	j.liveIncomplete = 0
	for _, word := range j.done {
		j.DoneCount += bits.OnesCount64(word)
	}
	for t := range j.Live {
		if int(t) < j.Tasks && !j.IsDone(t) {
			j.liveIncomplete++
		}
	}
}
