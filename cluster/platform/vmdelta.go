package platform

// VMDelta is a part of the VM list.
type VMDelta struct {
	// Version is the number of the list's last change.
	Version uint64
	// Full says that VMs holds the whole list.
	Full bool
	// VMs holds the VMs whose entry changed.
	VMs []VM
	// Removed holds the ids of VMs that are no longer listed.
	Removed []string
}
