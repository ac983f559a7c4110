package platform

// VMDelta holds the changes of the VM list since a version, or the whole list.
type VMDelta struct {
	// Version is the number of the list's last change.
	Version uint64
	// Full means that VMs holds the whole list.
	Full bool
	// VMs holds the VMs that were added or whose entry changed.
	VMs []VM
	// Removed holds the IDs of the VMs that were removed from the list.
	Removed []string
}
