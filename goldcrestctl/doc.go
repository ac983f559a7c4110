// Goldcrestctl is the command line of goldcrestshift for operators and callers.
package main
