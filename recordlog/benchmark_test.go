package recordlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// benchmarkPayload has the size of a typical record of a program.
var benchmarkPayload = json.RawMessage(fmt.Sprintf(`{"accepted":%q}`, string(make([]byte, 48))))

// openBenchmark returns a journal that has won the first claim in the log.
func openBenchmark(b *testing.B, log *benchmarkLog) *Journal {
	writer, err := New(DefaultConfig("a/1", rand.New(rand.NewPCG(1, 1))))
	if err != nil {
		b.Fatal(err)
	}
	writer.Peek(log.now)
	log.drain(writer)
	writer.CatchUp(log.now)
	log.drain(writer)
	writer.Claim(log.now, "a")
	log.drain(writer)
	if !writer.IsOpen() {
		b.Fatal("the claim did not win")
	}
	return writer
}

// benchmarkLog is a log that answers every request after one round trip, in
// virtual time.
type benchmarkLog struct {
	now     time.Time
	end     uint64
	appends int
	reads   int
	random  *rand.Rand
	// lostShare is the share of appends that take effect but whose answer is
	// lost. readBack confirms appends by reading instead of by offset.
	lostShare float64
	readBack  bool
	copies    map[uint64]Entry
}

const benchmarkRoundTrip = 5 * time.Millisecond

// roundTrip advances the time by one round trip and answers all pending
// requests.
func (l *benchmarkLog) roundTrip(writer *Journal) []Confirmed {
	ready := writer.Ready()
	l.now = l.now.Add(benchmarkRoundTrip)
	for _, request := range ready.Appends {
		l.append(writer, request)
	}
	for _, request := range ready.Reads {
		l.reads++
		writer.ReadDone(l.now, l.read(request))
	}
	if wake := writer.NextWake(); !writer.HasReady() && !wake.IsZero() {
		l.now = wake
		writer.Tick(l.now)
	}
	return ready.Confirmed
}

func (l *benchmarkLog) append(writer *Journal, request Append) {
	l.appends++
	answer := Appended{Request: request.Request, FirstOffset: l.end}
	if l.copies != nil {
		for index, entry := range request.Entries {
			l.copies[l.end+uint64(index)] = entry
		}
	}
	l.end += uint64(len(request.Entries))
	if l.lostShare > 0 && l.random.Float64() < l.lostShare {
		answer = Appended{Request: request.Request, Err: errors.New("answer lost")}
	}
	if l.readBack && answer.Err == nil {
		writer.now = l.now
		writer.appender = appender{backoff: writer.appender.backoff, unansweredSince: l.now}
		writer.appender.backoff.Reset()
		writer.readUpTo(l.end)
		return
	}
	writer.Appended(l.now, answer)
}

func (l *benchmarkLog) read(request Read) ReadDone {
	from := min(request.From, l.end)
	to := min(l.end, from+uint64(request.Maximum))
	answer := ReadDone{Request: request.Request, FirstOffset: from, End: l.end}
	for offset := from; offset < to; offset++ {
		answer.Entries = append(answer.Entries, l.copies[offset])
	}
	return answer
}

func (l *benchmarkLog) drain(writer *Journal) {
	for writer.HasReady() {
		l.roundTrip(writer)
	}
}

// BenchmarkPropose measures the CPU time per record from Propose to Confirmed,
// by the number of records in an append.
func BenchmarkPropose(b *testing.B) {
	for _, group := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("group=%d", group), func(b *testing.B) {
			log := &benchmarkLog{now: time.Unix(0, 0)}
			writer := openBenchmark(b, log)
			b.ReportAllocs()
			for b.Loop() {
				for range group {
					if _, err := writer.Propose(log.now, benchmarkPayload); err != nil {
						b.Fatal(err)
					}
				}
				log.drain(writer)
			}
			records := float64(b.N) * float64(group)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/records, "ns/record")
		})
	}
}

// BenchmarkConfirmation compares confirmation by offset with reading back every
// append: the requests to the log per record, and the virtual time from Propose
// to Confirmed. A record is proposed every millisecond, and a round trip to the
// log takes 5 ms.
func BenchmarkConfirmation(b *testing.B) {
	for _, readBack := range []bool{false, true} {
		for _, lost := range []float64{0, 0.01, 0.1} {
			name := fmt.Sprintf("readback=%t/lost=%g", readBack, lost)
			b.Run(name, func(b *testing.B) { benchmarkConfirmation(b, readBack, lost) })
		}
	}
}

func benchmarkConfirmation(b *testing.B, readBack bool, lostShare float64) {
	const records = 5000
	for b.Loop() {
		log := &benchmarkLog{now: time.Unix(0, 0), copies: map[uint64]Entry{}, random: rand.New(rand.NewPCG(3, 3))}
		writer := openBenchmark(b, log)
		log.lostShare = lostShare
		log.readBack = readBack
		log.appends, log.reads = 0, 0
		started := log.now
		proposedAt := map[Token]time.Time{}
		var total time.Duration
		confirmed := 0
		for confirmed < records {
			for len(proposedAt) < records && started.Add(time.Duration(len(proposedAt))*time.Millisecond).Before(log.now) {
				token, err := writer.Propose(log.now, benchmarkPayload)
				if err != nil {
					b.Fatal(err)
				}
				proposedAt[token] = started.Add(time.Duration(len(proposedAt)) * time.Millisecond)
			}
			for _, record := range log.roundTrip(writer) {
				confirmed++
				total += log.now.Sub(proposedAt[record.Token]) - benchmarkRoundTrip
			}
		}
		b.ReportMetric(float64(log.appends)/records, "appends/record")
		b.ReportMetric(float64(log.reads)/records, "reads/record")
		b.ReportMetric(float64(total.Microseconds())/1000/records, "virtual-ms/record")
	}
}
