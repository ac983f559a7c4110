// Goldcrestd is the goldcrestshift daemon; it runs on every entry VM.
package main
