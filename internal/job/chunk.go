package job

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"math/bits"
	"strings"
)

const (
	// tasksPerChunk is the number of tasks whose completion is stored under one key. The
	// encoded chunk is well below 16 KiB, the smallest limit of a value's size in a state
	// service.
	tasksPerChunk = 32768

	// wordBits is the number of bits in a word of a bit set.
	wordBits = 1 << wordShift

	// wordShift is the binary logarithm of wordBits.
	wordShift = 6

	// wordBytes is the size of a word in bytes.
	wordBytes = wordBits / 8
)

// Chunk is the stored record of the completed tasks among tasksPerChunk consecutive
// tasks of a job.
type Chunk struct {
	Bits string `codec:"bits"` // bit set in little-endian order, encoded as base64
}

// ChunkKey returns the key of a chunk.
func (j *Job) ChunkKey(chunk int) string {
	return fmt.Sprintf("%s%s/%d", DonePrefix, j.ID, chunk)
}

// SplitChunkKey splits the key of a chunk into the job's id and the chunk's number. The
// id is empty if the key contains no chunk number.
func SplitChunkKey(key string) (id string, chunk int, err error) {
	name := strings.TrimPrefix(key, DonePrefix)
	slash := strings.LastIndexByte(name, '/')
	if slash < 0 {
		return "", 0, nil
	}
	if _, err := fmt.Sscanf(name[slash+1:], "%d", &chunk); err != nil {
		return "", 0, fmt.Errorf("chunk key %s: parse chunk number: %w", key, err)
	}
	return name[:slash], chunk, nil
}

// DirtyChunks returns the chunks whose current content has not been stored.
func (j *Job) DirtyChunks() []int {
	var chunks []int
	for chunk := range j.dirtyChunks {
		chunks = append(chunks, chunk)
	}
	return chunks
}

// EncodeChunk encodes a chunk and marks it as clean. If the write of the chunk fails,
// the caller must mark it as dirty again with MarkChunkDirty.
func (j *Job) EncodeChunk(chunk int) Chunk {
	first := chunk * tasksPerChunk / wordBits
	end := min(len(j.done), first+tasksPerChunk/wordBits)
	encoded := make([]byte, 0, (end-first)*wordBytes)
	for _, word := range j.done[first:end] {
		encoded = binary.LittleEndian.AppendUint64(encoded, word)
	}
	delete(j.dirtyChunks, chunk)
	return Chunk{Bits: base64.StdEncoding.EncodeToString(encoded)}
}

// MarkChunkDirty marks a chunk as one that has to be stored.
func (j *Job) MarkChunkDirty(chunk int) { j.dirtyChunks[chunk] = true }

// SetChunkVersion records that a chunk may exist as a key, and the key's version; 0 if
// the key was absent when it was last read.
func (j *Job) SetChunkVersion(chunk int, version uint64) { j.chunkVersions[chunk] = version }

// ChunkVersion returns the last recorded version of a chunk's key; 0 if there is none.
func (j *Job) ChunkVersion(chunk int) uint64 { return j.chunkVersions[chunk] }

// StoredChunks returns the chunks that may exist as keys.
func (j *Job) StoredChunks() []int {
	var chunks []int
	for chunk := range j.chunkVersions {
		chunks = append(chunks, chunk)
	}
	return chunks
}

// LoadChunk adds the completed tasks of a stored chunk to the job.
func (j *Job) LoadChunk(chunk int, stored Chunk, version uint64) error {
	decoded, err := base64.StdEncoding.DecodeString(stored.Bits)
	if err != nil {
		return fmt.Errorf("job %s: decode chunk %d of completed tasks: %w", j.ID, chunk, err)
	}
	first := chunk * tasksPerChunk / wordBits
	for i, octet := range decoded {
		if word := first + i/wordBytes; word < len(j.done) {
			j.done[word] |= uint64(octet) << (8 * (i % wordBytes))
		}
	}
	if used := j.Tasks % wordBits; used != 0 {
		j.done[len(j.done)-1] &= 1<<used - 1 // clear the bits beyond the last task
	}
	j.recountDone()
	j.chunkVersions[chunk] = version
	return nil
}

// recountDone recomputes the counts that depend on the set of completed tasks.
func (j *Job) recountDone() {
	j.DoneCount = 0
	j.liveIncomplete = 0
	for _, word := range j.done {
		j.DoneCount += bits.OnesCount64(word)
	}
	for task := range j.Live {
		if int(task) < j.Tasks && !j.IsDone(task) {
			j.liveIncomplete++
		}
	}
}
