package apricotway

// Owner is one of the parties that share the servers and their cost.
type Owner string

// Workspace is the unit of isolation, fair sharing and accounting. Every caller's token belongs to exactly one workspace.
type Workspace string

// Service names a model service or a plain service. Callers give it as the model name or as an element of the path.
type Service string

// Region is a geographical group of availability zones.
type Region string

// Zone is an availability zone, the unit in which hosts are reclaimed together.
type Zone string

// MachineClass is a class of machine with one price and one expected speed.
type MachineClass string

// BackendServerID identifies one run of a model engine or of a plain service's server.
type BackendServerID string

// NodeID identifies one run of the daemon. A restarted process has a new NodeID.
type NodeID string

// RequestID identifies an accepted request until it is forgotten, over all attempts and processes.
type RequestID string

// AttemptID identifies one attempt to run a request on one backend server. The server echoes it.
type AttemptID string

// SoftwareVersion is the version of the software of a backend server; empty when it is not known. What servers of different versions
// generate does not fit together, whatever model they run.
type SoftwareVersion string

// Lineage is what the servers that may generate parts of one stream have in common.
type Lineage struct {
	Model    ModelVersion
	Software SoftwareVersion
}

// ModelVersion is the version of the model and adapter that generated a text. Only the version that began a text may continue it.
type ModelVersion string
