/*
 * The core protocol: non-idempotent work runs at most once, and "not run" is
 * true for ever.
 *
 * Two owners, two entries and one caller handle one piece of work. Messages
 * between entry and owner are lost, duplicated, delayed and reordered: each
 * sits in a set of messages that an owner may take, copy or drop at any time. A
 * silent connection is a message that is never taken. An owner may be replaced
 * by a new incarnation at any time, and its memory is gone then; its runs on
 * the upstream stay counted. A process that pauses and wakes late is one whose
 * next step is taken late: the checker explores every delay. Entries see VM
 * lists that differ, since each picks an owner freely.
 *
 * Each mutation is switched on by a macro and must be caught:
 *   NO_INCARNATION  the owner ignores which incarnation a ticket names
 *   NO_REFUSED      a query of an unseen ticket is answered without a record
 *   NO_TABLE        the owner does not remember that a ticket ran
 *   ELSEWHERE       an entry tries another owner after a time-out
 *   LIE             an entry says "not run" after a time-out
 *   FORGET          the owner drops a record without raising its mark
 *   RETRY_LOST      the owner runs work again whose connection broke
 */

#define OWNERS   2
#define TICKETS  2
#define RESTARTS 2
#define COPIES   2

#define NONE    0
#define QUEUED  1
#define STARTED 2
#define DONE    3
#define REFUSED 4
#define LOST    5

#define NOANSWER 0
#define ANSWERED 1
#define NOTRUN   2
#define UNKNOWN  3

/* A ticket names its owner and the owner's incarnation. */
byte ticketOwner[TICKETS];
byte ticketIncarnation[TICKETS];
byte tickets = 0;

/* The memory of each owner: one state for each ticket, and a low-water mark
 * below which tickets without a record are unknown. */
byte incarnation[OWNERS];
byte state[OWNERS * TICKETS];
byte mark[OWNERS];
byte restarts = 0;
byte copies = 0;

/* Messages under way: whether a call or a query of a ticket, or an answer to
 * it, is there to be taken. */
bool callSent[TICKETS];
bool querySent[TICKETS];
byte answer[TICKETS];

/* The truth: runs of the work on the upstreams, under each ticket. */
byte runs = 0;

/* What the caller was told. */
byte told = NOANSWER;

/* From calm on, messages flow and no process fails. */
bool calm = false;

#define STATE(o, t) state[(o) * TICKETS + (t)]

#define IN_WORK(o, t) (STATE(o, t) == QUEUED || STATE(o, t) == STARTED)

inline answer_from_record(o, t) {
	if
	:: STATE(o, t) == DONE -> answer[t] = ANSWERED
	:: STATE(o, t) == REFUSED -> answer[t] = NOTRUN
	:: STATE(o, t) == NONE || STATE(o, t) == LOST -> answer[t] = UNKNOWN
	:: IN_WORK(o, t) -> skip
	fi
}

#ifdef NO_INCARNATION
#define STRANGER(o, t) false
#else
#define STRANGER(o, t) (ticketIncarnation[t] != incarnation[o])
#endif
#define UNSEEN(o, t) (STATE(o, t) == NONE && t >= mark[o])

/* A copy of the call may stay under way and arrive again later. */
inline take_call(o, t) {
	if
	:: copies < COPIES -> copies++
	:: callSent[t] = false
	fi;
	if
	:: STRANGER(o, t) -> answer[t] = UNKNOWN
	:: !STRANGER(o, t) && UNSEEN(o, t) ->
		STATE(o, t) = QUEUED
	:: else -> answer_from_record(o, t)
	fi
}

inline take_query(o, t) {
	querySent[t] = false;
	if
	:: STRANGER(o, t) -> answer[t] = UNKNOWN
	:: !STRANGER(o, t) && UNSEEN(o, t) ->
#ifndef NO_REFUSED
		STATE(o, t) = REFUSED;
#endif
		answer[t] = NOTRUN
	:: else -> answer_from_record(o, t)
	fi
}

/* Admission refuses the work, or hands it to the upstream. */
inline admit(o, t) {
	if
	:: STATE(o, t) = REFUSED; answer[t] = NOTRUN
	:: STATE(o, t) = STARTED;
		/* A third run would show no more than the second. */
		runs = (runs < 2 -> runs + 1 : runs)
	fi
}

/* The upstream answers, or the connection to it breaks. */
inline finish(o, t) {
	if
#ifdef NO_TABLE
	:: STATE(o, t) = NONE; answer[t] = ANSWERED
#else
	:: STATE(o, t) = DONE; answer[t] = ANSWERED
#endif
#ifdef RETRY_LOST
	:: STATE(o, t) = QUEUED
#else
	:: STATE(o, t) = LOST; answer[t] = UNKNOWN
#endif
	fi
}

/* The window is full: the record goes and the mark rises over it. */
inline evict(o, t) {
	STATE(o, t) = NONE;
#ifndef FORGET
	if
	:: mark[o] < t + 1 -> mark[o] = t + 1
	:: else -> skip
	fi
#endif
}

inline restart(o) {
	restarts++;
	incarnation[o]++;
	STATE(o, 0) = NONE;
	STATE(o, 1) = NONE;
	mark[o] = 0
}

#define SETTLED(o, t) (STATE(o, t) >= DONE)

/* An owner takes messages in any order, one step at a time. A restart loses
 * the records and the queue; what was started stays counted. */
proctype Owner(byte o) {
end:	do
	:: atomic { callSent[0] && ticketOwner[0] == o -> take_call(o, 0) }
	:: atomic { callSent[1] && ticketOwner[1] == o -> take_call(o, 1) }
	:: atomic { querySent[0] && ticketOwner[0] == o -> take_query(o, 0) }
	:: atomic { querySent[1] && ticketOwner[1] == o -> take_query(o, 1) }
	:: atomic { STATE(o, 0) == QUEUED -> admit(o, 0) }
	:: atomic { STATE(o, 1) == QUEUED -> admit(o, 1) }
	:: atomic { STATE(o, 0) == STARTED -> finish(o, 0) }
	:: atomic { STATE(o, 1) == STARTED -> finish(o, 1) }
	:: atomic { SETTLED(o, 0) && !calm -> evict(o, 0) }
	:: atomic { SETTLED(o, 1) && !calm -> evict(o, 1) }
	:: atomic { restarts < RESTARTS && !calm -> restart(o) }
	od
}

/* The network loses messages. */
proctype Network() {
	do
	:: atomic { !calm && callSent[0] -> callSent[0] = false }
	:: atomic { !calm && callSent[1] -> callSent[1] = false }
	:: atomic { !calm && querySent[0] -> querySent[0] = false }
	:: atomic { !calm && querySent[1] -> querySent[1] = false }
	:: atomic { !calm && answer[0] != NOANSWER -> answer[0] = NOANSWER }
	:: atomic { !calm && answer[1] != NOANSWER -> answer[1] = NOANSWER }
	:: atomic { !calm -> calm = true; break }
	od
}

/* An entry carries the work: it issues a ticket, presents it until there is an
 * answer, and takes another owner only after the first has refused. */
proctype Entry(byte o) {
	byte t;
	byte a;
issue:	atomic {
		if
		:: tickets < TICKETS ->
			t = tickets;
			tickets++;
			ticketOwner[t] = o;
			ticketIncarnation[t] = incarnation[o];
			callSent[t] = true
		:: else -> goto unknown
		fi
	};
ask:	if
	:: atomic { answer[t] != NOANSWER -> a = answer[t]; answer[t] = NOANSWER };
		if
		:: a == ANSWERED -> goto answered
		:: a == UNKNOWN -> goto unknown
		:: a == NOTRUN && tickets < TICKETS ->
			/* Refused for good: another owner under a new ticket. */
			o = 1 - o;
			goto issue
		:: a == NOTRUN -> goto notrun
		fi
	:: atomic { !callSent[t] && answer[t] == NOANSWER && !IN_WORK(o, t) ->
		/* No answer: the same ticket again over a new connection. */
		callSent[t] = true };
		goto ask
	:: !calm ->
		/* The deadline passes. */
#ifdef ELSEWHERE
		o = 1 - o;
		goto issue
#else
#ifdef LIE
		goto notrun
#else
		goto unknown
#endif
#endif
	fi;
answered:
	atomic { told = ANSWERED; goto done };
notrun:
	atomic { told = NOTRUN; goto done };
unknown:
	told = UNKNOWN;
done:
	skip
}

/* A caller that was told "unknown" goes through another node: it sends the
 * ticket again or asks for its outcome, while the first messages may still be
 * under way. */
proctype Caller() {
	byte t;
	told == UNKNOWN;
	atomic { t = tickets - 1 };
again:	if
	:: atomic { !callSent[t] -> callSent[t] = true }
	:: atomic { !querySent[t] -> querySent[t] = true }
	fi;
	if
	:: atomic { answer[t] == NOTRUN -> told = NOTRUN }
	:: atomic { answer[t] == ANSWERED -> told = ANSWERED }
	:: atomic { answer[t] == UNKNOWN -> answer[t] = NOANSWER }
	:: atomic { !calm && answer[t] == NOANSWER -> goto again }
	fi
}

init {
	atomic {
		run Owner(0);
		run Owner(1);
		run Network();
		run Entry(0);
		run Caller()
	}
}

ltl once { [] (runs <= 1) }
ltl truth { [] (told == NOTRUN -> runs == 0) }
ltl answered { [] (told == ANSWERED -> runs == 1) }
ltl outcome { [] (calm -> <> (told != NOANSWER)) }
