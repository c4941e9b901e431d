package router

import (
	"slices"
	"time"
)

// question is one that was put to another host: it is open, or its answer may still come.
type question struct {
	number  uint64
	request uint64
	owner   string
	at      time.Duration
	// givenUp, as no answer came in time: what is granted later is given back.
	givenUp bool
}

func (q *question) asked() *question { return q }

// questions are those of one kind, the oldest first.
type questions[Q interface{ asked() *question }] struct {
	list   []Q
	number uint64
}

// next is the number of a new question.
func (l *questions[Q]) next() uint64 {
	l.number++
	return l.number
}

func (l *questions[Q]) add(q Q) { l.list = append(l.list, q) }

// take finds the question that an answer belongs to, and forgets it.
func (l *questions[Q]) take(from string, number uint64) (q Q, ok bool) {
	i := slices.IndexFunc(l.list, func(q Q) bool { return q.asked().number == number && q.asked().owner == from })
	if i < 0 {
		return q, false
	}
	q = l.list[i]
	l.list = slices.Delete(l.list, i, i+1)
	return q, true
}

// overdue are the questions that have not been answered in time. Each is named once.
func (l *questions[Q]) overdue(now time.Duration) []Q {
	for len(l.list) > 0 && now-l.list[0].asked().at > askForget {
		l.list = l.list[1:]
	}
	var out []Q
	for _, q := range l.list {
		if a := q.asked(); !a.givenUp && now-a.at >= askPatience {
			a.givenUp = true
			out = append(out, q)
		}
	}
	return out
}
