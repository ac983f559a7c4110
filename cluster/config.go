package cluster

import "time"

// Team is a customer of the cell, with a share and an upper limit.
type Team struct {
	Name TeamName
	// Share is the team's weight in dividing the capacity of the cell when there is not enough for all teams.
	Share int
	// Limit is the most that the team's tasks may use at once in the whole cell.
	Limit Resources
	// MaxRequests limits the team's requests in flight in the whole cell; zero means no limit.
	MaxRequests int
}

// Key is a credential of a team; only the hash of its secret is stored.
type Key struct {
	Name KeyName
	Team TeamName
	// Hash is the SHA-256 of the secret.
	Hash [32]byte
}

// Queue accepts jobs and requests.
type Queue struct {
	Name QueueName
	// Open queues accept calls without a key and run them for Team.
	Open bool
	// Team is the only team that may use the queue; empty admits every team. An open queue must name a team.
	Team TeamName
	// Priority is the priority of jobs that are submitted without one.
	Priority Priority
	// MaxWait limits how long deferrable work waits; zero means the default.
	MaxWait time.Duration
	// Service is the pool of workers that runs the queue's jobs; empty means the workers of the cell.
	Service ServiceName
	// Rank orders the queues of a pool; the lowest rank takes precedence.
	Rank int
	// MaxAttempts is how many runs of a task or a gang may fail; zero means no limit.
	MaxAttempts int
	// A job should complete within Stretch times its critical path plus Target.
	Stretch float64
	Target  time.Duration
	// Timeout limits the duration of one call of a client.
	Timeout time.Duration
	// HTTP calls whose host and path match Host and PathPrefix go to the queue;
	// both are empty if calls name the queue in the path.
	Host       string
	PathPrefix string
	// Advice is set if the advice service decides which workers may run a step;
	// nil means every worker may.
	Advice *AdvicePolicy
}

// AdvicePolicy is how long advice requests for a queue take and how long their tickets are valid.
type AdvicePolicy struct {
	// An advice request takes CallDuration plus PerWorker for each worker that it names.
	CallDuration time.Duration
	PerWorker    time.Duration
	// TicketTTL is how long a ticket is valid.
	TicketTTL time.Duration
}

// ServiceRoute is a service to which the gateway routes requests.
type ServiceRoute struct {
	Name  ServiceName
	Queue QueueName
	// Timeout limits the duration of a request, including the time in the queue.
	Timeout time.Duration
	// MaxAnswer is the largest response that is forwarded to the caller.
	MaxAnswer Bytes
	// MaxBody is the largest request body that is accepted.
	MaxBody Bytes
}

// Entity is a part of the configuration that a release note adds, changes or
// withdraws: a *Team, *Key, *Queue, *ServiceRoute or *JobSpec.
type Entity interface{ entity() }

func (*Team) entity()         {}
func (*Key) entity()          {}
func (*Queue) entity()        {}
func (*ServiceRoute) entity() {}
func (*JobSpec) entity()      {}

// EntityKind is the name of a kind of entity in row keys, notes and messages.
type EntityKind string

// Kinds of entity.
const (
	KindTeam    EntityKind = "team"
	KindKey     EntityKind = "key"
	KindQueue   EntityKind = "queue"
	KindService EntityKind = "service"
	KindJob     EntityKind = "job"
)

// EntityID identifies an entity of the configuration.
type EntityID struct {
	Kind EntityKind
	Name string
}

// String formats the identifier as kind/name.
func (e EntityID) String() string { return string(e.Kind) + "/" + e.Name }

// Identify returns the identifier of an entity; a job's name is team/name.
func Identify(e Entity) EntityID {
	switch v := e.(type) {
	case *Team:
		return EntityID{KindTeam, string(v.Name)}
	case *Key:
		return EntityID{KindKey, string(v.Name)}
	case *Queue:
		return EntityID{KindQueue, string(v.Name)}
	case *ServiceRoute:
		return EntityID{KindService, string(v.Name)}
	case *JobSpec:
		return EntityID{KindJob, v.ID.String()}
	}
	return EntityID{}
}

// Snapshot is the configuration after one accepted release note; it is immutable.
type Snapshot struct {
	// Version is the number of the last note that the snapshot includes; zero before the first note.
	Version    Version
	Teams      map[TeamName]*Team
	Keys       map[KeyName]*Key
	KeysByHash map[[32]byte]*Key
	Queues     map[QueueName]*Queue
	Services   map[ServiceName]*ServiceRoute
	Jobs       map[JobID]*JobSpec
}

// Assemble builds a snapshot from entities.
func Assemble(version Version, entities []Entity) *Snapshot {
	s := &Snapshot{
		Version:    version,
		Teams:      map[TeamName]*Team{},
		Keys:       map[KeyName]*Key{},
		KeysByHash: map[[32]byte]*Key{},
		Queues:     map[QueueName]*Queue{},
		Services:   map[ServiceName]*ServiceRoute{},
		Jobs:       map[JobID]*JobSpec{},
	}
	for _, e := range entities {
		switch v := e.(type) {
		case *Team:
			s.Teams[v.Name] = v
		case *Key:
			s.Keys[v.Name] = v
			s.KeysByHash[v.Hash] = v
		case *Queue:
			s.Queues[v.Name] = v
		case *ServiceRoute:
			s.Services[v.Name] = v
		case *JobSpec:
			s.Jobs[v.ID] = v
		}
	}
	return s
}
