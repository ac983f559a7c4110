// Package platform defines what goldcrestshift uses of the platform: a
// transactional table service, an object store, a lagging list of VMs and the
// workers of each rack. Client speaks HTTP and JSON to a real platform or to
// the stand-in.
package platform
