// Package quarantine detects requests that crash the backend servers that run them, and keeps them away from backend
// servers. It is pure: the time is an argument, and what other hosts have observed comes in as messages.
//
// When a backend server ends with two requests in flight, the cause and the bystander can't be told apart. The next end
// can tell them apart. So a ledger records, for each request that was in flight when a backend server ended, at which
// ends it was in flight. A request counts as the cause if it was in flight at three ends that no other cause explains,
// and hasn't completed since. The verdict depends on the ends alone, so that hosts that know the same ends agree, and a
// bystander is released as soon as another request explains the ends that it was in flight at.
package quarantine
