package apricotway

// Owner is one of the parties that share the fleet and divide the bill.
type Owner string

// Workspace is the unit of isolation, fair sharing and accounting; every caller's token belongs to exactly one.
type Workspace string

// Service names a model or a plain service; callers give it as the model name or as a path element.
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

// RequestID identifies an accepted request for its whole life, over all attempts and processes.
type RequestID string

// AttemptID identifies one attempt to run a request on one backend server. The server echoes it.
type AttemptID string

// ModelVersion is the version of model and adapter that generated a text. A text is only ever continued by the version
// that began it.
type ModelVersion string
