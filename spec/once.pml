/*
 * A model of at-most-once execution: non-idempotent work runs at most once, and
 * an outcome of "not run" stays true forever.
 *
 * Two owners, an entry and a caller handle one piece of work; the messages of
 * the caller stand for those of a second entry. Messages between entry and owner
 * are lost, duplicated, delayed and reordered: they form a set, and any of them
 * may be received, copied or dropped at any time. A silent connection is modelled
 * as a message that is never received. An owner may be replaced by a new
 * incarnation at any time, which loses its memory; its runs on the upstream stay
 * counted. A process that is paused and resumed is modelled as one that takes its
 * next step late: the checker explores every delay. Entries with different VM
 * lists are covered, since each entry picks any owner. An upstream may reject the
 * work, and a copy of that rejection may arrive later on its connection.
 *
 * Each mutation is enabled by a macro and must violate a property:
 *   IGNORE_INCARNATION      the owner ignores the incarnation in a ticket
 *   QUERY_LEAVES_NO_RECORD  a query of an unseen ticket is answered "not run"
 *                           without recording the rejection
 *   FORGET_RUN              the owner keeps no record of a ticket that ran
 *   TIMEOUT_FAILOVER        an entry tries another owner after a timeout
 *   TIMEOUT_NOT_RUN         an entry reports "not run" after a timeout
 *   EVICT_KEEPS_MARK        the owner drops a record without raising the
 *                           low-water mark
 *   RETRY_LOST              the owner runs work again after its connection to
 *                           the upstream was lost
 *   REUSE_CONNECTION        the owner sends work again on the connection on which
 *                           the upstream rejected it
 */

#define OWNERS         2
#define TICKETS        2
#define MAX_RESTARTS   2
#define MAX_DUPLICATES 2
#define MAX_REJECTIONS 2

#define NONE    0
#define QUEUED  1
#define STARTED 2
#define DONE    3
#define REFUSED 4
#define LOST    5

#define NO_ANSWER 0
#define ANSWERED  1
#define NOT_RUN   2
#define UNKNOWN   3

/* A ticket names its owner and the owner's incarnation. */
byte ticketOwner[TICKETS];
byte ticketIncarnation[TICKETS];
byte tickets = 0;

/* The memory of each owner: a state for each ticket, and a low-water mark. The
 * outcome of a ticket below the mark that has no record is unknown. */
byte incarnation[OWNERS];
byte state[OWNERS * TICKETS];
byte lowWaterMark[OWNERS];
byte restarts = 0;
byte duplicates = 0;

/* Messages in flight, for each ticket: whether a call or a query can be
 * received, and the answer that can be received, if any. */
bool callSent[TICKETS];
bool querySent[TICKETS];
byte answer[TICKETS];

/* How often the upstreams rejected the work, and whether a copy of a rejection by
 * the upstream of each owner may still arrive on the connection of that rejection. */
byte rejections = 0;
bool copyPending[OWNERS];

/* The number of times that the work ran on the upstreams, over all tickets. */
byte runs = 0;

/* The outcome that was reported to the caller. */
byte reported = NO_ANSWER;

/* Once the network is stable, no message is lost and no process restarts. */
bool stable = false;

#define STATE(o, t) state[(o) * TICKETS + (t)]

#define IN_PROGRESS(o, t) (STATE(o, t) == QUEUED || STATE(o, t) == STARTED)

inline answer_from_record(o, t) {
	if
	:: STATE(o, t) == DONE -> answer[t] = ANSWERED
	:: STATE(o, t) == REFUSED -> answer[t] = NOT_RUN
	:: STATE(o, t) == NONE || STATE(o, t) == LOST -> answer[t] = UNKNOWN
	:: IN_PROGRESS(o, t) -> skip
	fi
}

#ifdef IGNORE_INCARNATION
#define OTHER_INCARNATION(o, t) false
#else
#define OTHER_INCARNATION(o, t) (ticketIncarnation[t] != incarnation[o])
#endif
#define UNSEEN(o, t) (STATE(o, t) == NONE && t >= lowWaterMark[o])

/* The call may be duplicated: a copy stays in flight and arrives again later. */
inline take_call(o, t) {
	if
	:: duplicates < MAX_DUPLICATES -> duplicates++
	:: callSent[t] = false
	fi;
	if
	:: OTHER_INCARNATION(o, t) -> answer[t] = UNKNOWN
	:: !OTHER_INCARNATION(o, t) && UNSEEN(o, t) ->
		STATE(o, t) = QUEUED
	:: else -> answer_from_record(o, t)
	fi
}

inline take_query(o, t) {
	querySent[t] = false;
	if
	:: OTHER_INCARNATION(o, t) -> answer[t] = UNKNOWN
	:: !OTHER_INCARNATION(o, t) && UNSEEN(o, t) ->
#ifndef QUERY_LEAVES_NO_RECORD
		STATE(o, t) = REFUSED;
#endif
		answer[t] = NOT_RUN
	:: else -> answer_from_record(o, t)
	fi
}

/* Admission control rejects the work or passes it to the upstream, which may reject
 * it too. It is sent again on a connection that has not carried it, where no copy of
 * that rejection arrives. */
inline admit(o, t) {
	if
	:: STATE(o, t) = REFUSED; answer[t] = NOT_RUN
	:: rejections < MAX_REJECTIONS -> rejections++; copyPending[o] = true
	:: STATE(o, t) = STARTED;
		/* Two runs violate the property already; counting more
		 * would only add states. */
		runs = (runs < 2 -> runs + 1 : runs)
#ifdef REUSE_CONNECTION
		;
		if
		:: copyPending[o] ->
			copyPending[o] = false;
			STATE(o, t) = REFUSED;
			answer[t] = NOT_RUN
		:: skip
		fi
#endif
	fi
}

/* The upstream answers, or the connection to it is lost. */
inline finish(o, t) {
	if
#ifdef FORGET_RUN
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

/* The window of records is full: a record is dropped, and the low-water mark is
 * raised above its ticket. */
inline evict(o, t) {
	STATE(o, t) = NONE;
#ifndef EVICT_KEEPS_MARK
	if
	:: lowWaterMark[o] < t + 1 -> lowWaterMark[o] = t + 1
	:: else -> skip
	fi
#endif
}

inline restart(o) {
	restarts++;
	incarnation[o]++;
	STATE(o, 0) = NONE;
	STATE(o, 1) = NONE;
	copyPending[o] = false;
	lowWaterMark[o] = 0
}

#define FINISHED(o, t) (STATE(o, t) >= DONE)

/* An owner receives messages in any order. A restart loses the records and the
 * queue; runs that were started stay counted. */
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
	:: atomic { FINISHED(o, 0) && !stable -> evict(o, 0) }
	:: atomic { FINISHED(o, 1) && !stable -> evict(o, 1) }
	:: atomic { restarts < MAX_RESTARTS && !stable -> restart(o) }
	od
}

/* The network loses messages until it becomes stable. */
proctype Network() {
	do
	:: atomic { !stable && callSent[0] -> callSent[0] = false }
	:: atomic { !stable && callSent[1] -> callSent[1] = false }
	:: atomic { !stable && querySent[0] -> querySent[0] = false }
	:: atomic { !stable && querySent[1] -> querySent[1] = false }
	:: atomic { !stable && answer[0] != NO_ANSWER -> answer[0] = NO_ANSWER }
	:: atomic { !stable && answer[1] != NO_ANSWER -> answer[1] = NO_ANSWER }
	:: atomic { !stable -> stable = true; break }
	od
}

/* An entry gets a ticket from an owner and sends the call until there is an
 * answer. It tries another owner only after the first has rejected the call. */
proctype Entry(byte o) {
	byte t;
	byte received;
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
	:: atomic { answer[t] != NO_ANSWER -> received = answer[t]; answer[t] = NO_ANSWER };
		if
		:: received == ANSWERED -> goto answered
		:: received == UNKNOWN -> goto unknown
		:: received == NOT_RUN && tickets < TICKETS ->
			/* The rejection is final: try the other owner with a
			 * new ticket. */
			o = 1 - o;
			goto issue
		:: received == NOT_RUN -> goto notrun
		fi
	:: atomic { !callSent[t] && answer[t] == NO_ANSWER && !IN_PROGRESS(o, t) ->
		/* No answer: send the same ticket over a new connection. */
		callSent[t] = true };
		goto ask
	:: !stable ->
		/* The deadline passes without an answer. */
#ifdef TIMEOUT_FAILOVER
		o = 1 - o;
		goto issue
#else
#ifdef TIMEOUT_NOT_RUN
		goto notrun
#else
		goto unknown
#endif
#endif
	fi;
answered:
	atomic { reported = ANSWERED; goto done };
notrun:
	atomic { reported = NOT_RUN; goto done };
unknown:
	reported = UNKNOWN;
done:
	skip
}

/* A caller that got the outcome "unknown" uses another node: it sends the ticket
 * again or queries its outcome, while earlier messages may still be in flight. */
proctype Caller() {
	byte t;
	reported == UNKNOWN;
	atomic { t = tickets - 1 };
again:	if
	:: atomic { !callSent[t] -> callSent[t] = true }
	:: atomic { !querySent[t] -> querySent[t] = true }
	fi;
	if
	:: atomic { answer[t] == NOT_RUN -> reported = NOT_RUN }
	:: atomic { answer[t] == ANSWERED -> reported = ANSWERED }
	:: atomic { answer[t] == UNKNOWN -> answer[t] = NO_ANSWER }
	:: atomic { !stable && answer[t] == NO_ANSWER -> goto again }
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

ltl at_most_once { [] (runs <= 1) }
ltl not_run_is_true { [] (reported == NOT_RUN -> runs == 0) }
ltl answered_ran_once { [] (reported == ANSWERED -> runs == 1) }
ltl outcome_known { [] (stable -> <> (reported != NO_ANSWER)) }
