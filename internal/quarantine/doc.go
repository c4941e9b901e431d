// Package quarantine finds the requests that end the backend servers that run them, and keeps them from
// backend servers. It is pure: time is an argument.
package quarantine
