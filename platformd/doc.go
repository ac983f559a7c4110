// Platformd runs a stand-in for the platform, for tests and demonstrations.
package main
