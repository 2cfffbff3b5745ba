package eelgrassring

// VM names a virtual machine that the platform provides.
type VM string

// Group names a declared group of VMs, or a replica that the controller forms from
// discovered backend servers.
type Group string

// Workspace names a customer of the deployment.
type Workspace string

// Application names a client program of a workspace; it authenticates with one
// bearer key.
type Application string

// Model names a language model.
type Model string

// Adapter names a set of weights that adapts a base model to a task.
type Adapter string

// Zone names an availability zone.
type Zone string

// Domain names a fabric domain: VMs in one domain share a fast interconnect.
type Domain string

// Service names a service: a plain HTTP service, or one that runs models.
type Service string

// Era counts the restores of the platform's key-value service from an older copy; 0
// if the service does not name its eras.
type Era int64

// eraShift is the number of bits of a Revision that hold the service's own number,
// below the era.
const eraShift = 40

// Revision numbers the states of the platform's key-value service in order. After a
// restore the service gives out its own numbers again, so a Revision also holds the
// era: all revisions of a later era are larger.
type Revision int64

// RevisionAt returns the revision with the service's own number in an era.
func RevisionAt(e Era, number int64) Revision { return Revision(int64(e)<<eraShift | number) }

// Era returns the era in which the service gave out the revision.
func (r Revision) Era() Era { return Era(r >> eraShift) }

// Number returns the service's own number of the revision.
func (r Revision) Number() int64 { return int64(r) & (1<<eraShift - 1) }

// Epoch is the fencing number of one assignment of VMs to a group. A server that
// checks epochs refuses an order whose epoch is smaller than that of an order
// which it has accepted. Every new assignment, of any group, has a larger epoch
// than all earlier ones.
type Epoch uint64
