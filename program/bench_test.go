package program_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/program"
)

// callsPerProgram is the number of calls after which a program of the benchmark
// is ended and replaced by a new one. On average, a program has half as many.
const callsPerProgram = 40

// benchStore drives calls through a store without keeping a log.
type benchStore struct {
	*program.Store
	now         time.Time
	offset      uint64
	callsMade   []int
	generations []int
	keys        [callsPerProgram]string
}

func newBenchStore(programs int) *benchStore {
	store, err := program.NewStore(program.Config{MaximumPrograms: programs})
	if err != nil {
		panic(err)
	}
	b := &benchStore{Store: store, now: time.Unix(1_700_000_000, 0), callsMade: make([]int, programs), generations: make([]int, programs)}
	for i := range b.keys {
		b.keys[i] = "call-key-" + strconv.Itoa(i)
	}
	for i := range programs {
		b.create(i)
		for range i % callsPerProgram {
			b.call(i)
		}
	}
	return b
}

func (b *benchStore) id(i int) api.ProgramID {
	return api.ProgramID(fmt.Sprintf("isando_midrand-a.3.%08x%08x", i, b.generations[i]))
}

func (b *benchStore) create(i int) {
	command := createCommand(b.id(i))
	command.Create.Terms.BudgetTokens = 1 << 40
	command.Create.Terms.MaxTurns = 0
	b.step(command)
}

// call makes one complete call of program i: it is submitted, dispatched and
// answered, and the offsets of its records are set. A program that has made
// callsPerProgram calls is replaced first.
func (b *benchStore) call(i int) {
	if b.callsMade[i] == callsPerProgram {
		b.step(endCommand(b.id(i)))
		b.generations[i]++
		b.callsMade[i] = 0
		b.create(i)
	}
	id := b.id(i)
	b.step(submitCommand(id, modelCall(b.keys[b.callsMade[i]])))
	b.callsMade[i]++
	call := ref(id, uint64(b.callsMade[i]))
	b.step(program.Command{Dispatch: &program.Dispatch{Call: call, Backend: "engine-1", Epoch: 1}})
	attempt := program.AttemptRef{CallRef: call, Attempt: 1}
	usage := api.Usage{PromptTokens: 10, OutputTokens: 10}
	b.step(program.Command{Outcome: &program.Outcome{Attempt: attempt, Status: api.StatusSucceeded, Output: "an answer", Usage: usage}})
}

func (b *benchStore) step(command program.Command) {
	b.now = b.now.Add(time.Microsecond)
	output, refusal := b.Step(b.now, command)
	if refusal != nil {
		panic(refusal)
	}
	for _, record := range output.Records {
		b.SetRecordOffset(record.Program, record, b.offset)
		b.offset++
	}
}

// BenchmarkCall measures one complete call, which takes three commands, in stores
// with different numbers of programs.
func BenchmarkCall(b *testing.B) {
	for _, programs := range []int{10, 1_000, 100_000} {
		b.Run(fmt.Sprintf("programs=%d", programs), func(b *testing.B) {
			store := newBenchStore(programs)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				store.call(i % programs)
			}
		})
	}
}

// recordsOf returns the records of a program with this number of calls.
func recordsOf(id api.ProgramID, calls int) []program.Record {
	now := time.Unix(1_700_000_000, 0).UTC()
	records := []program.Record{{At: now, Program: id, Created: &program.Created{Branch: "koudeketting/triage", Key: string(id), Terms: terms()}}}
	for sequence := uint64(1); sequence <= uint64(calls); sequence++ {
		request := at(sequence, modelCall("call-key-"+strconv.FormatUint(sequence, 10)))
		records = append(records,
			program.Record{At: now, Program: id, Accepted: &program.Accepted{Sequence: sequence, Call: request, BodyHash: sequence, ReservedTokens: 10, Deadline: now.Add(time.Minute)}},
			program.Record{At: now, Program: id, Dispatched: &program.Dispatched{Sequence: sequence, Attempt: 1, Backend: "engine-1", Epoch: 1}},
			program.Record{At: now, Program: id, Ended: &program.CallEnded{Sequence: sequence, Attempt: 1, Status: api.StatusSucceeded, Output: "an answer of the engine", Usage: api.Usage{PromptTokens: 5, OutputTokens: 5}}},
		)
	}
	return records
}

// recoverPrograms replays the records of several programs with the same number
// of calls, one program after another. It returns the number of records.
func recoverPrograms(b *testing.B, store *program.Store, programs, calls int) (records uint64) {
	for i := range programs {
		for _, record := range recordsOf(api.ProgramID(fmt.Sprintf("isando_midrand-a.3.%016x", i)), calls) {
			if err := store.Recover(records, record); err != nil {
				b.Fatal(err)
			}
			records++
		}
	}
	return records
}

// BenchmarkRecover measures the replay of one record, from its struct and from
// JSON.
func BenchmarkRecover(b *testing.B) {
	records := recordsOf("isando_midrand-a.3.0000000000000001", 160)
	encoded := make([][]byte, len(records))
	for i, record := range records {
		encoded[i], _ = json.Marshal(record)
	}
	run := func(b *testing.B, recover func(store *program.Store, i int) error) {
		store, _ := program.NewStore(program.Config{})
		b.ReportAllocs()
		for i := range b.N {
			if err := recover(store, i%len(records)); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "records/s")
	}
	b.Run("fold", func(b *testing.B) {
		run(b, func(store *program.Store, i int) error { return store.Recover(uint64(i), records[i]) })
	})
	b.Run("decode and fold", func(b *testing.B) {
		run(b, func(store *program.Store, i int) error {
			var record program.Record
			if err := json.Unmarshal(encoded[i], &record); err != nil {
				return err
			}
			return store.Recover(uint64(i), record)
		})
	})
}

// BenchmarkHeld measures the memory of programs whose calls have ended, the time
// to create and restore their snapshot, and the time to resume.
func BenchmarkHeld(b *testing.B) {
	for _, size := range []struct{ programs, calls int }{{100_000, 1}, {100_000, 20}, {10_000, 160}} {
		b.Run(fmt.Sprintf("programs=%d/calls=%d", size.programs, size.calls), func(b *testing.B) {
			for range b.N {
				measureMemory(b, size.programs, size.calls)
			}
		})
	}
}

func measureMemory(b *testing.B, programs, calls int) {
	before := heapBytes()
	store, _ := program.NewStore(program.Config{})
	recoverPrograms(b, store, programs, calls)
	b.ReportMetric(float64(heapBytes()-before)/float64(programs), "heap-bytes/program")

	start := time.Now()
	store.Resume(time.Unix(1_700_000_001, 0), 2)
	b.ReportMetric(time.Since(start).Seconds()*1000, "resume-ms")

	start = time.Now()
	parts := store.Snapshot()
	b.ReportMetric(time.Since(start).Seconds()*1000, "snapshot-ms")
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	b.ReportMetric(float64(size)/float64(programs), "snapshot-bytes/program")
	b.ReportMetric(float64(len(parts)), "snapshot-parts")

	restored, _ := program.NewStore(program.Config{})
	start = time.Now()
	for _, part := range parts {
		if err := restored.RecoverSnapshot(part); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(time.Since(start).Seconds()*1000, "restore-ms")
	runtime.KeepAlive(store)
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
