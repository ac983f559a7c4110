package cell

import (
	"testing"

	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// FuzzForwardedMessages guards against a daemon that ends because of a message of another daemon, or that makes a call
// to an address which the message does not contain.
func FuzzForwardedMessages(f *testing.F) {
	valid := []any{
		&callBatch{
			Workers: []batchWorker{{ID: "w", Addr: "127.0.0.1:9"}}, Specs: []string{"spec"},
			Starts: []batchStart{{ID: 1, Task: "0000000000000001.0.0.0", Run: 7}}, Stops: []batchStop{{ID: 2}}, Holds: []batchHold{{ID: 3}},
		},
		&resultBatch{
			Starts: []startResult{{ID: 1}}, Stops: []stopResult{{ID: 2}},
			Holds: []holdResult{{ID: 3, Running: []resultRun{{Task: "t"}}, Ended: []resultEnd{{Number: 1}}}},
		},
		&workerList{Total: 1, Workers: []listedWorker{{ID: "w", Addr: "127.0.0.1:9", Labels: []string{"r"}}}},
		&readReply{Rows: []platform.Row{{Key: "jobs/1/0000000000000001", Value: []byte{1}}}, Parts: 1},
	}
	for _, v := range valid {
		m, err := packBatch("test", v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(m.Payload, m.Compressed)
		f.Add(m.Payload, !m.Compressed)
	}
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff}, false)
	f.Fuzz(func(t *testing.T, payload []byte, compressed bool) {
		m := packedMessage{Payload: payload, Compressed: compressed}
		if batch, err := unpackBatch[callBatch]("test", m); err == nil {
			for i := range batch.Starts {
				if _, err := batch.worker(batch.Starts[i].Worker); err == nil {
					_, _ = batch.startRequest(&batch.Starts[i])
				}
			}
		}
		if batch, err := unpackBatch[resultBatch]("test", m); err == nil {
			for i := range batch.Starts {
				_ = batch.Starts[i].refusal().String()
			}
			for i := range batch.Holds {
				if reply, err := batch.Holds[i].reply(); err == nil {
					for _, e := range reply.Ended {
						_ = e.Outcome.String()
					}
				}
			}
		}
		if list, err := unpackBatch[workerList]("test", m); err == nil {
			for i := range list.Workers {
				_, _ = list.Workers[i].vm()
			}
		}
		if part, err := unpackBatch[readReply]("test", m); err == nil {
			var parts readCollector
			_, _ = parts.add(part)
		}
	})
}
