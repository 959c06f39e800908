package enginelab

import (
	"container/list"
	"time"

	"pewterrudder/internal/router/prefixcache"
)

// EngineSpec describes the engine of an instance. It works in steps: a step reads a chunk of the waiting prompts and makes one
// token for each running request.
type EngineSpec struct {
	Slots        int     // requests that run at once
	Queue        int     // requests that may wait
	StepMs       float64 // a step without prompts
	SlotMs       float64 // added to a step by each running request
	ContextMs    float64 // added to a step by each 1,000 tokens of the running requests
	TokensPerMs  float64 // prompt tokens read in a ms
	PairsMs      float64 // added to reading by each million pairs of a read token and one before it
	ChunkTokens  int     // prompt tokens read in one step at the most
	StrideTokens int     // tokens of one event of a stream
	FirstMs      float64 // from arrival to the queue
	Capacity     int     // tokens that running requests and kept blocks share
}

// job is one request at an engine.
type job struct {
	blocks  []prefixcache.Block
	prompt  int // tokens
	output  int // tokens
	toRead  int // prompt tokens left to read; unknownRead before reading begins
	made    int // tokens made
	onEvent func()
	onEnd   func()
}

const unknownRead = -1

// engine is the plain model of one instance's engine.
type engine struct {
	spec     *EngineSpec
	clock    clock
	kept     *keptBlocks
	waiting  []*job // or being read, in order
	running  []*job
	stepping bool
	slowness float64 // factor of each step
	isGone   bool
	read     float64 // prompt tokens read
	onRead   func(shared []prefixcache.Block, missing []prefixcache.Block)
}

func newEngine(spec *EngineSpec, clock clock) *engine {
	return &engine{spec: spec, clock: clock, kept: newKeptBlocks(spec.Capacity), slowness: 1}
}

// enter queues a job, or tells that there is no room.
func (e *engine) enter(entered *job) bool {
	if e.isGone || len(e.waiting)+len(e.running) >= e.spec.Slots+e.spec.Queue {
		return false
	}
	entered.toRead = unknownRead
	e.waiting = append(e.waiting, entered)
	if !e.stepping {
		e.step()
	}
	return true
}

// step plays one step and goes on until there is nothing left to do.
func (e *engine) step() {
	e.stepping = len(e.waiting)+len(e.running) > 0 && !e.isGone
	if !e.stepping {
		return
	}
	readMs, begun := e.readChunk()
	tookMs := readMs + e.spec.StepMs + e.spec.SlotMs*float64(len(e.running)) + e.spec.ContextMs*e.contextTokens()/1000
	e.clock.after(milliseconds(tookMs*e.slowness), func() { e.finishStep(begun) })
}

// readChunk reads a chunk of the first prompts that wait, as far as there are slots, and tells how many of them are read whole.
func (e *engine) readChunk() (tookMs float64, begun int) {
	budget := e.spec.ChunkTokens
	for i := 0; i < len(e.waiting) && budget > 0 && len(e.running)+i < e.spec.Slots; i++ {
		reading := e.waiting[i]
		if reading.toRead == unknownRead {
			e.beginReading(reading)
		}
		piece := min(budget, reading.toRead)
		before := float64(reading.prompt - reading.toRead)
		pairs := float64(piece) * (before + float64(piece)/2)
		tookMs += float64(piece)/e.spec.TokensPerMs + e.spec.PairsMs*pairs/1e6
		reading.toRead -= piece
		budget -= piece
		if reading.toRead == 0 {
			begun++
		}
	}
	return tookMs, begun
}

func (e *engine) beginReading(reading *job) {
	missing := e.kept.missing(reading.blocks)
	reading.toRead = max(1, prefixcache.TotalTokens(missing))
	e.read += float64(reading.toRead)
	if e.onRead != nil {
		e.onRead(prefixcache.SharedBlocks(reading.blocks), missing)
	}
	e.kept.use(reading.blocks)
}

func (e *engine) contextTokens() float64 {
	sum := 0
	for _, running := range e.running {
		sum += running.prompt + running.made
	}
	return float64(sum)
}

// finishStep gives each running request its token and has the prompts that were read whole run.
func (e *engine) finishStep(begun int) {
	if e.isGone {
		return
	}
	still := e.running[:0]
	for _, running := range e.running {
		if e.makeToken(running) {
			still = append(still, running)
		}
	}
	e.running = still
	first := e.waiting[:begun]
	e.waiting = e.waiting[begun:]
	for _, started := range first {
		if e.makeToken(started) {
			e.running = append(e.running, started)
		}
	}
	e.step()
}

// makeToken makes one token, with which an event may be due, and tells whether the request goes on.
func (e *engine) makeToken(running *job) bool {
	running.made++
	isLast := running.made >= running.output
	if isLast || running.made == 1 || running.made%e.spec.StrideTokens == 1%e.spec.StrideTokens {
		running.onEvent()
	}
	if isLast {
		running.onEnd()
	}
	return !isLast
}

// keptBlocks are the blocks that an engine keeps: the most recently used ones, by tokens.
type keptBlocks struct {
	capacity int
	order    *list.List
	byID     map[uint64]*list.Element
	tokens   int
}

func newKeptBlocks(capacity int) *keptBlocks {
	return &keptBlocks{capacity: capacity, order: list.New(), byID: map[uint64]*list.Element{}}
}

// missing are the blocks of a prompt that must be read: from the first one that is not kept.
func (k *keptBlocks) missing(blocks []prefixcache.Block) []prefixcache.Block {
	for i, block := range blocks {
		if k.byID[block.ID] == nil {
			return blocks[i:]
		}
	}
	return nil
}

// use keeps the blocks of a prompt, the first ones the longest.
func (k *keptBlocks) use(blocks []prefixcache.Block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if element := k.byID[blocks[i].ID]; element != nil {
			k.order.MoveToFront(element)
			continue
		}
		k.byID[blocks[i].ID] = k.order.PushFront(blocks[i])
		k.tokens += blocks[i].Tokens
	}
	for k.tokens > k.capacity {
		oldest := k.order.Back()
		block := k.order.Remove(oldest).(prefixcache.Block)
		delete(k.byID, block.ID)
		k.tokens -= block.Tokens
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
