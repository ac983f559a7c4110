package note

// The YAML form of a note. Expect is allowed only under change. Sizes and
// durations are strings and are parsed after decoding, so that an error can name
// their field.

type noteYAML struct {
	Summary  string       `yaml:"summary"`
	Add      entitiesYAML `yaml:"add"`
	Change   entitiesYAML `yaml:"change"`
	Withdraw namesYAML    `yaml:"withdraw"`
}

// entitiesYAML holds the entities of the sections add and change.
type entitiesYAML struct {
	Teams    []teamYAML    `yaml:"teams"`
	Keys     []keyYAML     `yaml:"keys"`
	Queues   []queueYAML   `yaml:"queues"`
	Services []serviceYAML `yaml:"services"`
	Jobs     []jobYAML     `yaml:"jobs"`
}

// namesYAML holds the names of withdrawn entities.
type namesYAML struct {
	Teams    []string `yaml:"teams"`
	Keys     []string `yaml:"keys"`
	Queues   []string `yaml:"queues"`
	Services []string `yaml:"services"`
	// Jobs holds names of the form team/id.
	Jobs []string `yaml:"jobs"`
}

type teamYAML struct {
	Name        string        `yaml:"name"`
	Share       int           `yaml:"share"`
	Limit       resourcesYAML `yaml:"limit"`
	MaxRequests int           `yaml:"maxRequests"`
	Expect      uint64        `yaml:"expect"`
}

type resourcesYAML struct {
	CPUs         float64 `yaml:"cpus"`
	Memory       string  `yaml:"memory"`
	Accelerators int64   `yaml:"accelerators"`
}

type keyYAML struct {
	Name   string `yaml:"name"`
	Team   string `yaml:"team"`
	Hash   string `yaml:"hash"`
	Expect uint64 `yaml:"expect"`
}

type queueYAML struct {
	Name     string `yaml:"name"`
	Open     bool   `yaml:"open"`
	Team     string `yaml:"team"`
	Priority string `yaml:"priority"`
	MaxWait  string `yaml:"maxWait"`
	Expect   uint64 `yaml:"expect"`
}

type serviceYAML struct {
	Name      string `yaml:"name"`
	Queue     string `yaml:"queue"`
	Timeout   string `yaml:"timeout"`
	MaxAnswer string `yaml:"maxAnswer"`
	MaxBody   string `yaml:"maxBody"`
	Expect    uint64 `yaml:"expect"`
}

type jobYAML struct {
	ID           string   `yaml:"id"`
	Team         string   `yaml:"team"`
	Queue        string   `yaml:"queue"`
	Workload     string   `yaml:"workload"`
	Tasks        int      `yaml:"tasks"`
	CPUs         float64  `yaml:"cpus"`
	Memory       string   `yaml:"memory"`
	Accelerators int64    `yaml:"accelerators"`
	RunTime      string   `yaml:"runTime"`
	Priority     string   `yaml:"priority"`
	Deadline     string   `yaml:"deadline"`
	Idempotent   bool     `yaml:"idempotent"`
	Checkpoints  bool     `yaml:"checkpoints"`
	MaxAttempts  int      `yaml:"maxAttempts"`
	Command      []string `yaml:"command"`
	Expect       uint64   `yaml:"expect"`
}
