// Package quarantine finds the requests that end the backend servers that run them, and keeps them from
// backend servers. It is pure: time is an argument, and what hosts tell each other comes in as words.
//
// Two requests that are at one backend server when it ends look alike there: the one that ended it and those that were
// beside it. What tells them apart is the next end. So a ledger counts, for each request that was in flight at an end, at
// which ends it was; a request is the cause if it was at three of them that no other cause explains, and has not run to
// a good end since. The verdict follows from the ends alone, so that hosts that know the same ends agree, and an
// innocent request is free again as soon as the ends it was at are explained by another.
package quarantine
