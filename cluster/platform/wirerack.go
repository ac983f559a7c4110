package platform

import (
	"fmt"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// exchangeWire is the JSON form of an ExchangeRequest; the rack is in the URL.
type exchangeWire struct {
	Owner       string        `json:"owner,omitempty"`
	Epoch       uint64        `json:"epoch"`
	Since       uint64        `json:"since,omitempty"`
	LeaseMillis int64         `json:"leaseMillis"`
	Commands    []commandWire `json:"commands,omitempty"`
}

// commandWire is the JSON form of a Command; the fields from Size on depend on the command.
type commandWire struct {
	Name    string         `json:"do"`
	Worker  string         `json:"worker"`
	Attempt string         `json:"attempt"`
	Size    *resourcesWire `json:"size,omitempty"`
	Command []string       `json:"command,omitempty"`
	Resume  bool           `json:"resume,omitempty"`
	CPU     int64          `json:"cpu,omitempty"`
}

// Names of the commands on the wire.
const (
	commandNameStart       = "start"
	commandNameStop        = "stop"
	commandNameCheckpoint  = "checkpoint"
	commandNameThrottle    = "throttle"
	commandNameAcknowledge = "acknowledge"
)

// exchangeReplyWire is the JSON form of an ExchangeReply.
type exchangeReplyWire struct {
	Cursor  uint64             `json:"cursor"`
	Workers []workerReportWire `json:"workers,omitempty"`
	Results []string           `json:"results,omitempty"`
}

// workerReportWire is the JSON form of a WorkerReport.
type workerReportWire struct {
	Worker      string            `json:"worker"`
	Capacity    resourcesWire     `json:"capacity"`
	Region      string            `json:"region,omitempty"`
	Zone        string            `json:"zone,omitempty"`
	Unreachable bool              `json:"unreachable,omitempty"`
	Epoch       uint64            `json:"epoch,omitempty"`
	Running     []runningTaskWire `json:"running,omitempty"`
	Ended       []endedTaskWire   `json:"ended,omitempty"`
}

// runningTaskWire is the JSON form of a RunningTask.
type runningTaskWire struct {
	Attempt   string        `json:"attempt"`
	Size      resourcesWire `json:"size"`
	Usage     resourcesWire `json:"usage,omitzero"`
	AgeMillis int64         `json:"ageMillis,omitempty"`
}

// endedTaskWire is the JSON form of an EndedTask.
type endedTaskWire struct {
	Attempt       string        `json:"attempt"`
	Outcome       string        `json:"outcome"`
	Peak          resourcesWire `json:"peak,omitzero"`
	RunTimeMillis int64         `json:"runTimeMillis,omitempty"`
}

var (
	commandResultNames = [...]string{"done", "staleEpoch", "unreachable", "known", "noCapacity", "noTask"}
	outcomeNames       = [...]string{"succeeded", "failed", "stopped", "checkpointed", "leaseLapsed"}
)

// String returns the name of the result on the wire.
func (r CommandResult) String() string { return commandResultNames[r] }

// String returns the name of the outcome on the wire.
func (o Outcome) String() string { return outcomeNames[o] }

// EncodeExchangeRequest encodes an exchange request without its rack, which is
// part of the URL.
func EncodeExchangeRequest(r ExchangeRequest) []byte {
	w := exchangeWire{Owner: string(r.Owner), Epoch: uint64(r.Epoch), Since: r.Since, LeaseMillis: r.Lease.Milliseconds()}
	for _, c := range r.Commands {
		w.Commands = append(w.Commands, commandToWire(c))
	}
	return marshal(w)
}

// DecodeExchangeRequest decodes an exchange request for a rack.
func DecodeExchangeRequest(rack cluster.RackID, data []byte) (ExchangeRequest, error) {
	var w exchangeWire
	if err := unmarshal(data, &w); err != nil {
		return ExchangeRequest{}, err
	}
	r := ExchangeRequest{
		Rack: rack, Owner: cluster.DaemonID(w.Owner), Epoch: cluster.Epoch(w.Epoch), Since: w.Since,
		Lease: time.Duration(w.LeaseMillis) * time.Millisecond,
	}
	for _, c := range w.Commands {
		command, err := commandFromWire(c)
		if err != nil {
			return ExchangeRequest{}, err
		}
		r.Commands = append(r.Commands, command)
	}
	return r, nil
}

func commandToWire(c Command) commandWire {
	switch c := c.(type) {
	case *StartTask:
		size := resourcesToWire(c.Size)
		return commandWire{Name: commandNameStart, Worker: string(c.Worker), Attempt: c.Attempt.String(), Size: &size, Command: c.Command, Resume: c.Resume}
	case *StopTask:
		return commandWire{Name: commandNameStop, Worker: string(c.Worker), Attempt: c.Attempt.String()}
	case *CheckpointTask:
		return commandWire{Name: commandNameCheckpoint, Worker: string(c.Worker), Attempt: c.Attempt.String()}
	case *ThrottleTask:
		return commandWire{Name: commandNameThrottle, Worker: string(c.Worker), Attempt: c.Attempt.String(), CPU: int64(c.CPU)}
	case *AcknowledgeResult:
		return commandWire{Name: commandNameAcknowledge, Worker: string(c.Worker), Attempt: c.Attempt.String()}
	}
	panic(fmt.Sprintf("platform: unknown command type %T", c))
}

func commandFromWire(w commandWire) (Command, error) {
	id, err := ParseAttemptID(w.Attempt)
	if err != nil {
		return nil, err
	}
	worker := cluster.WorkerID(w.Worker)
	switch w.Name {
	case commandNameStart:
		if w.Size == nil {
			return nil, fmt.Errorf("the start of %s has no size", w.Attempt)
		}
		return &StartTask{Worker: worker, Attempt: id, Size: resourcesFromWire(*w.Size), Command: w.Command, Resume: w.Resume}, nil
	case commandNameStop:
		return &StopTask{Worker: worker, Attempt: id}, nil
	case commandNameCheckpoint:
		return &CheckpointTask{Worker: worker, Attempt: id}, nil
	case commandNameThrottle:
		return &ThrottleTask{Worker: worker, Attempt: id, CPU: cluster.CPU(w.CPU)}, nil
	case commandNameAcknowledge:
		return &AcknowledgeResult{Worker: worker, Attempt: id}, nil
	}
	return nil, fmt.Errorf("command %q", w.Name)
}

// EncodeExchangeReply encodes the reply to an exchange.
func EncodeExchangeReply(r ExchangeReply) []byte {
	w := exchangeReplyWire{Cursor: r.Cursor}
	for _, result := range r.Results {
		w.Results = append(w.Results, result.String())
	}
	for _, report := range r.Workers {
		w.Workers = append(w.Workers, workerReportToWire(report))
	}
	return marshal(w)
}

func workerReportToWire(r WorkerReport) workerReportWire {
	w := workerReportWire{
		Worker: string(r.Worker), Capacity: resourcesToWire(r.Capacity), Region: string(r.Place.Region), Zone: string(r.Place.Zone),
		Unreachable: !r.Reachable, Epoch: uint64(r.Epoch),
	}
	for _, t := range r.Running {
		w.Running = append(w.Running, runningTaskWire{t.Attempt.String(), resourcesToWire(t.Size), resourcesToWire(t.Usage), t.Age.Milliseconds()})
	}
	for _, t := range r.Ended {
		w.Ended = append(w.Ended, endedTaskWire{t.Attempt.String(), t.Outcome.String(), resourcesToWire(t.Peak), t.RunTime.Milliseconds()})
	}
	return w
}

// DecodeExchangeReply decodes the reply to an exchange.
func DecodeExchangeReply(data []byte) (ExchangeReply, error) {
	var w exchangeReplyWire
	if err := unmarshal(data, &w); err != nil {
		return ExchangeReply{}, err
	}
	r := ExchangeReply{Cursor: w.Cursor}
	for _, name := range w.Results {
		i := slices.Index(commandResultNames[:], name)
		if i < 0 {
			return ExchangeReply{}, fmt.Errorf("unknown command result %q", name)
		}
		r.Results = append(r.Results, CommandResult(i))
	}
	for _, report := range w.Workers {
		worker, err := workerReportFromWire(report)
		if err != nil {
			return ExchangeReply{}, err
		}
		r.Workers = append(r.Workers, worker)
	}
	return r, nil
}

func workerReportFromWire(w workerReportWire) (WorkerReport, error) {
	r := WorkerReport{
		Worker: cluster.WorkerID(w.Worker), Capacity: resourcesFromWire(w.Capacity),
		Place:     cluster.Place{Region: cluster.Region(w.Region), Zone: cluster.Zone(w.Zone)},
		Reachable: !w.Unreachable, Epoch: cluster.Epoch(w.Epoch),
	}
	for _, t := range w.Running {
		id, err := ParseAttemptID(t.Attempt)
		if err != nil {
			return WorkerReport{}, err
		}
		r.Running = append(r.Running, RunningTask{
			Attempt: id, Size: resourcesFromWire(t.Size), Usage: resourcesFromWire(t.Usage), Age: time.Duration(t.AgeMillis) * time.Millisecond,
		})
	}
	for _, t := range w.Ended {
		id, err := ParseAttemptID(t.Attempt)
		if err != nil {
			return WorkerReport{}, err
		}
		outcome := slices.Index(outcomeNames[:], t.Outcome)
		if outcome < 0 {
			return WorkerReport{}, fmt.Errorf("unknown outcome %q", t.Outcome)
		}
		r.Ended = append(r.Ended, EndedTask{
			Attempt: id, Outcome: Outcome(outcome), Peak: resourcesFromWire(t.Peak), RunTime: time.Duration(t.RunTimeMillis) * time.Millisecond,
		})
	}
	return r, nil
}
