// Package platform defines the platform services that goldcrestshift uses: a
// transactional table service, an object store, a list of VMs that is updated
// with a delay, and the workers of each rack. Client calls them over HTTP with
// JSON bodies, on a real platform or on the stand-in of package standin.
//
// WorkerLister, WorkerService and AdviceService are the services of the users'
// platform, where a daemon calls each worker itself instead of a rack; the
// top-level package platform implements them.
package platform
