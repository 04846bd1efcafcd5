package recordlog_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/recordlog"
)

// memoryLog is an in-memory stream. A real driver performs the requests on
// other goroutines and passes in the answers when they arrive.
type memoryLog struct {
	entries []recordlog.Entry
}

// perform performs the journal's requests until none is left.
func (l *memoryLog) perform(writer *recordlog.Journal, now time.Time) {
	for writer.HasReady() {
		ready := writer.Ready()
		for _, record := range ready.Recovered {
			fmt.Printf("recovered %s from offset %d\n", record.Payload, record.Offset)
		}
		for _, record := range ready.Confirmed {
			fmt.Printf("record %d is durable at offset %d\n", record.Token, record.Offset)
		}
		for _, request := range ready.Appends {
			first := uint64(len(l.entries))
			l.entries = append(l.entries, request.Entries...)
			writer.Appended(now, recordlog.Appended{Request: request.Request, FirstOffset: first})
		}
		for _, request := range ready.Reads {
			writer.ReadDone(now, l.read(request))
		}
	}
}

func (l *memoryLog) read(request recordlog.Read) recordlog.ReadDone {
	end := uint64(len(l.entries))
	from := min(request.From, end)
	if request.Tail {
		from = end - min(end, 1)
	}
	to := min(end, from+uint64(request.Maximum))
	return recordlog.ReadDone{Request: request.Request, FirstOffset: from, Entries: l.entries[from:to], End: end}
}

// Two processes write to one stream, one after the other. The second recovers
// the records that the first made durable.
func Example() {
	log := &memoryLog{}
	now := time.Unix(0, 0)
	open := func(writerName string) *recordlog.Journal {
		config := recordlog.DefaultConfig(writerName, rand.New(rand.NewPCG(1, 2)))
		writer, err := recordlog.New(config)
		if err != nil {
			fmt.Println(err)
			return nil
		}
		writer.Peek(now)
		log.perform(writer, now)
		writer.CatchUp(now)
		log.perform(writer, now)
		writer.Claim(now, recordlog.WriterMachine(writerName))
		log.perform(writer, now)
		return writer
	}

	first := open(recordlog.WriterName("10.0.0.1", 1))
	_, _ = first.Propose(now, []byte(`"seal broken"`))
	_, _ = first.Propose(now, []byte(`"technician sent"`))
	log.perform(first, now)

	second := open(recordlog.WriterName("10.0.0.2", 1))
	fmt.Println("epoch", second.Epoch())

	_, _ = first.Propose(now, []byte(`"sent again by the former owner"`))
	log.perform(first, now)
	fmt.Println("former owner superseded:", first.Superseded())
	// Output:
	// record 1 is durable at offset 1
	// record 2 is durable at offset 2
	// recovered "seal broken" from offset 1
	// recovered "technician sent" from offset 2
	// epoch 2
	// former owner superseded: true
}
