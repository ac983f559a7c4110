// Package jobquota bounds the memory that the accepted jobs of a daemon take, and divides it among the teams.
package jobquota
