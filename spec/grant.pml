/* Grants of one shard across changes of its owner.
 *
 * Two members own the shard in turn: member 0 in tenure 1, member 1 in tenure 2, member 0 again in
 * tenure 3. Entry VMs and members learn of a tenure at any later time. Any process may stall at any
 * step, which models a pause, or stall permanently, which models a crash. A member that resumes
 * after a stall continues with its last state: it is a stale owner.
 *
 * Assumed: messages between two processes keep their order. The listen window is longer than
 * learning and reporting take, except for one tenure, in which entry VMs, their messages and the
 * previous owner may lag (a partition or a pause).
 *
 * Checked (safety): no request is executed twice at the same time; at most 2 * LIMIT requests are
 * executed, which exceeds the limit by that of one shard; when no messages are in transit and all
 * requests are done, no slot is in use.
 */
#define ENTRIES 3
#define LIMIT 1
#define LAST 3
#define ROOM 7

#define ownerOf(t) (1 - ((t) % 2))

/* To a member: the entry, the bits of the grants that it holds and of those that it releases (one
 * bit for each issuing tenure), whether it requests a grant, and the tenure that it knows. */
chan toMember[2] = [ROOM] of { byte, byte, byte, bool, byte };
/* To an entry VM: the tenure that issued a grant. */
chan toEntry[ENTRIES] = [ROOM] of { byte };

byte tenure = 1;
byte view[ENTRIES] = 1;     /* the tenure that an entry VM knows */
byte reported[ENTRIES] = 1; /* the last tenure whose owner received its report */
bool running[ENTRIES];
bool done[ENTRIES];
byte busy;                /* number of running requests */
byte lags;                  /* tenures whose window ended before all had reported */

byte knows[2] = 1;          /* the tenure that a member knows */
bool owning[2];
bool opening[2];            /* in the listen window */
byte held[6];               /* held[member * ENTRIES + entry]: bits of grants */
bool queued[6];             /* waiting requests for a grant; all entries ask member 0 first */

#define bits(x) (((x) & 1) + (((x) >> 1) & 1) + (((x) >> 2) & 1))
#define used(m) (bits(held[(m)*ENTRIES]) + bits(held[(m)*ENTRIES+1]) + bits(held[(m)*ENTRIES+2]))
/* All processes have learned of member m's tenure and no older message is in transit. */
#define heard(m) (tenure == knows[m] && reported[0] >= knows[m] && reported[1] >= knows[m] && reported[2] >= knows[m] && \
	knows[1-m] >= knows[m] && empty(toMember[m]) && empty(toEntry[0]) && empty(toEntry[1]) && empty(toEntry[2]))

inline drop(m) {
	i = 0;
	do
	:: i < ENTRIES -> held[m*ENTRIES+i] = 0; queued[m*ENTRIES+i] = false; i++
	:: else -> break
	od;
	i = 0
}

/* A member that will not own the shard again ignores messages. */
#define over(m) (knows[m] == LAST && !owning[m])

/* A member learns of a tenure: it discards its state (owner.updateShards, owner.fence) and, if it
 * owns the shard in this tenure, listens for reports first. */
inline learn(m, t) {
	if
	:: t > knows[m] ->
		knows[m] = t;
		drop(m);
		owning[m] = (ownerOf(t) == m);
		opening[m] = owning[m]
	:: else
	fi
}

proctype Member(byte m) {
	byte e, takes, gives, t, i;
	bool asks;
	end: do
	:: atomic { knows[m] < tenure -> learn(m, tenure) }
	/* The listen window ends (owner.open). */
#ifdef BROKEN
	:: atomic { opening[m] -> opening[m] = false }
#else
	:: atomic { opening[m] && heard(m) -> opening[m] = false }
	:: atomic { opening[m] && lags < 1 -> lags++; opening[m] = false }
#endif
	/* owner.handleMessage: a report (owner.adopt), a release, or a request for a grant. */
	:: atomic { toMember[m]?e, takes, gives, asks, t ->
		learn(m, t);
		if
		:: owning[m] ->
			held[m*ENTRIES+e] = (held[m*ENTRIES+e] | takes) & (7 - gives);
			if
			:: t == knows[m] -> reported[e] = t
			:: else
			fi;
			if
			:: asks && (held[m*ENTRIES+e] & (1 << (knows[m]-1))) -> toEntry[e]!knows[m]
			:: asks && !(held[m*ENTRIES+e] & (1 << (knows[m]-1))) -> queued[m*ENTRIES+e] = true
			:: else
			fi
		:: else
		fi;
		e = 0; takes = 0; gives = 0; asks = false; t = 0 }
	/* scheduler.decide */
	:: atomic { owning[m] && !opening[m] && used(m) < LIMIT && (queued[m*ENTRIES] || queued[m*ENTRIES+1] || queued[m*ENTRIES+2]) ->
		/* In order of arrival: entry 0 is first. */
		e = (queued[m*ENTRIES] -> 0 : (queued[m*ENTRIES+1] -> 1 : 2));
		queued[m*ENTRIES+e] = false;
		held[m*ENTRIES+e] = held[m*ENTRIES+e] | (1 << (knows[m]-1));
		toEntry[e]!knows[m];
		e = 0 }
	od
}

proctype Entry(byte e) {
	byte issuer, t;
	end: do
	/* requester.handleMembersChanged: report the held grant, or request a grant again. */
	:: atomic { view[e] < tenure ->
		view[e] = tenure;
		if
		:: running[e] -> toMember[ownerOf(view[e])]!e, 1 << (issuer-1), 0, false, view[e]
		:: else -> toMember[ownerOf(view[e])]!e, 0, 0, !done[e], view[e]
		fi }
	/* requester.handleGrantAnswer: use the first grant, release any other. */
	:: atomic { toEntry[e]?t ->
		if
		:: !running[e] && !done[e] ->
			running[e] = true;
			issuer = t;
			busy++;
			assert(busy <= 2 * LIMIT);
			if
			:: t != view[e] -> toMember[ownerOf(view[e])]!e, 1 << (t-1), 0, false, view[e]
			:: else
			fi
		:: (running[e] || done[e]) && !(running[e] && issuer == t) && !over(ownerOf(t)) ->
			toMember[ownerOf(t)]!e, 0, 1 << (t-1), false, view[e]
		:: else
		fi;
		t = 0 }
	/* requester.release: to the current owner and to the issuer. */
	:: atomic { running[e] ->
		busy--;
		toMember[ownerOf(view[e])]!e, 0, 1 << (issuer-1), false, view[e];
		if
		:: ownerOf(issuer) != ownerOf(view[e]) && !over(ownerOf(issuer)) -> toMember[ownerOf(issuer)]!e, 0, 1 << (issuer-1), false, view[e]
		:: else
		fi;
		running[e] = false;
		done[e] = true;
		issuer = 0 }
	od
}

#define quiet (done[0] && done[1] && done[2] && empty(toMember[0]) && empty(toMember[1]) && \
	empty(toEntry[0]) && empty(toEntry[1]) && empty(toEntry[2]))
#define settled (view[0] == tenure && view[1] == tenure && view[2] == tenure && knows[ownerOf(tenure)] == tenure)

/* The membership: the owner is suspected to have failed, or returns. No slot is in use at the last
 * owner when no messages are in transit and all requests are done. */
proctype Membership() {
	end: do
	:: atomic { tenure < LAST -> tenure++ }
	:: atomic { tenure == LAST && quiet && settled -> assert(used(ownerOf(tenure)) == 0); break }
	od
}

init {
	atomic {
		owning[0] = true;
		queued[0] = true;
		queued[1] = true;
		queued[2] = true;
		run Member(0);
		run Member(1);
		run Membership();
		run Entry(0);
		run Entry(1);
		run Entry(2)
	}
}
