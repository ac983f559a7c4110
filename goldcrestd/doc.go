// Goldcrestd is the daemon that runs on every entry VM.
package main
