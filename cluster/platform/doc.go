// Package platform defines the platform services that goldcrestshift uses: a
// transactional table service, an object store, a list of VMs that is updated
// with a delay, and the workers of each rack. Client calls them over HTTP with
// JSON bodies, on a real platform or on the stand-in of package standin.
package platform
