package cluster

import "time"

// Team is a customer of the cell, with a share and an upper limit.
type Team struct {
	Name TeamName
	// Share is the team's weight when the fleet is full.
	Share int
	// Limit is the most that the team's tasks may use at once over the whole fleet.
	Limit Resources
	// MaxRequests is the most requests of the team in flight over the whole fleet; zero means no limit.
	MaxRequests int
}

// Key is a credential of a team; only the hash of its secret is kept.
type Key struct {
	Name KeyName
	Team TeamName
	// Hash is the SHA-256 of the secret.
	Hash [32]byte
}

// Queue accepts jobs and requests.
type Queue struct {
	Name QueueName
	// Open queues need no key; their work runs for Team.
	Open bool
	// Team restricts the queue to one team; empty admits every team. An open queue must name it.
	Team     TeamName
	Priority Priority
	// MaxWait bounds the wait of deferrable work; zero means the default.
	MaxWait time.Duration
}

// ServiceRoute is a service that requests are routed to.
type ServiceRoute struct {
	Name  ServiceName
	Queue QueueName
	// Timeout is the longest time a request may take, queueing included.
	Timeout time.Duration
	// MaxAnswer is the largest answer passed on.
	MaxAnswer Bytes
	// MaxBody is the largest request body accepted.
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

// EntityKind names a kind of entity in row keys, notes and messages.
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

// Snapshot is the configuration as of one accepted release note; it is never modified.
type Snapshot struct {
	// Version is the number of the last note in it; zero before the first.
	Version  Version
	Teams    map[TeamName]*Team
	Keys     map[KeyName]*Key
	KeysBy   map[[32]byte]*Key
	Queues   map[QueueName]*Queue
	Services map[ServiceName]*ServiceRoute
	Jobs     map[JobID]*JobSpec
}

// Assemble builds a snapshot from entities.
func Assemble(version Version, entities []Entity) *Snapshot {
	s := &Snapshot{
		Version:  version,
		Teams:    map[TeamName]*Team{},
		Keys:     map[KeyName]*Key{},
		KeysBy:   map[[32]byte]*Key{},
		Queues:   map[QueueName]*Queue{},
		Services: map[ServiceName]*ServiceRoute{},
		Jobs:     map[JobID]*JobSpec{},
	}
	for _, e := range entities {
		switch v := e.(type) {
		case *Team:
			s.Teams[v.Name] = v
		case *Key:
			s.Keys[v.Name] = v
			s.KeysBy[v.Hash] = v
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
