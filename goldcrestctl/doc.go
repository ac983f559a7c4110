// Goldcrestctl is the command-line client of goldcrestshift for operators and teams.
package main
