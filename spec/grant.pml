/* Grants of one shard over a change of owner.
 *
 * Two members may own the shard, in turn: tenure 1 is member 0's, tenure 2
 * member 1's, tenure 3 member 0's again. Entry VMs and members learn of a
 * tenure at any later time. Any process may stall at any step, which stands for
 * a freeze, and for good, which stands for a crash. A member that stalled goes
 * on with what it last knew: the stale owner.
 *
 * Assumed: messages between two processes keep their order; the window is longer
 * than learning and reporting take, but for one tenure, at which any entry VMs
 * may lag (a partition or a frozen entry VM).
 *
 * Checked (safety): no request runs twice at once; at most 2 * LIMIT run, that
 * is one shard's limit too many; once all is quiet no slot is left in use.
 */
#define ENTRIES 3
#define LIMIT 1
#define LAST 3
#define ROOM 8

#define ownerOf(t) (1 - ((t) % 2))

mtype = { ASK, RELEASE, REPORT };

/* To a member: kind, entry, grants as a bit for each issuing tenure, and the
 * tenure that the entry VM knows. */
chan toMember[2] = [ROOM] of { mtype, byte, byte, byte };
/* To an entry VM: the issuing tenure of a grant. */
chan toEntry[ENTRIES] = [ROOM] of { byte };

byte tenure = 1;
byte view[ENTRIES] = 1;     /* the tenure that an entry VM knows */
byte reported[ENTRIES] = 1; /* the last tenure whose owner got its report */
bool running[ENTRIES];
bool done[ENTRIES];
byte busy;                /* requests that run */
byte lags;                  /* tenures that opened before all had reported */

byte knows[2] = 1;          /* the tenure that a member knows */
bool owning[2];
bool opening[2];            /* in the window */
byte held[6];               /* held[member * ENTRIES + entry]: bits of grants */
bool queued[6];

#define bits(x) (((x) & 1) + (((x) >> 1) & 1) + (((x) >> 2) & 1))
#define used(m) (bits(held[(m)*ENTRIES]) + bits(held[(m)*ENTRIES+1]) + bits(held[(m)*ENTRIES+2]))
#define heard(t) (reported[0] >= (t) && reported[1] >= (t) && reported[2] >= (t))

inline drop(m) {
	i = 0;
	do
	:: i < ENTRIES -> held[m*ENTRIES+i] = 0; queued[m*ENTRIES+i] = false; i++
	:: else -> break
	od;
	i = 0
}

/* A member learns of a tenure: it drops what it knew (owner.rebuild,
 * owner.fence) and, if the tenure is its own, listens first. */
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
	byte e, grants, t, i;
	end: do
	:: atomic { knows[m] < tenure -> learn(m, tenure) }
	/* The window ends (owner.open). */
#ifdef BROKEN
	:: atomic { opening[m] -> opening[m] = false }
#else
	:: atomic { opening[m] && heard(knows[m]) -> opening[m] = false }
	:: atomic { opening[m] && !heard(knows[m]) && lags < 1 -> lags++; opening[m] = false }
#endif
	:: atomic { toMember[m]?ASK(e, grants, t) ->
		learn(m, t);
		if
		:: owning[m] && (held[m*ENTRIES+e] & (1 << (knows[m]-1))) -> toEntry[e]!knows[m]
		:: owning[m] && !(held[m*ENTRIES+e] & (1 << (knows[m]-1))) -> queued[m*ENTRIES+e] = true
		:: else
		fi;
		e = 0; grants = 0; t = 0 }
	/* owner.receive: a release; a request that ended also leaves the queue. */
	:: atomic { toMember[m]?RELEASE(e, grants, t) ->
		learn(m, t);
		held[m*ENTRIES+e] = held[m*ENTRIES+e] & (7 - grants);
		e = 0; grants = 0; t = 0 }
	/* owner.adopt; a report that is early counts once the member learns. */
	:: atomic { toMember[m]?REPORT(e, grants, t) ->
		learn(m, t);
		if
		:: owning[m] ->
			held[m*ENTRIES+e] = held[m*ENTRIES+e] | grants;
			if
			:: t == knows[m] -> reported[e] = t
			:: else
			fi
		:: else
		fi;
		e = 0; grants = 0; t = 0 }
	/* scheduler.decide */
	:: atomic { owning[m] && !opening[m] && used(m) < LIMIT && (queued[m*ENTRIES] || queued[m*ENTRIES+1] || queued[m*ENTRIES+2]) ->
		if
		:: queued[m*ENTRIES] -> e = 0
		:: queued[m*ENTRIES+1] -> e = 1
		:: queued[m*ENTRIES+2] -> e = 2
		fi;
		queued[m*ENTRIES+e] = false;
		held[m*ENTRIES+e] = held[m*ENTRIES+e] | (1 << (knows[m]-1));
		toEntry[e]!knows[m];
		e = 0 }
	od
}

proctype Entry(byte e) {
	byte issuer, t;
	toMember[0]!ASK(e, 0, 1);
	end: do
	/* requester.membersMoved: report what is held, ask anew. */
	:: atomic { view[e] < tenure ->
		view[e] = tenure;
		if
		:: running[e] -> toMember[ownerOf(view[e])]!REPORT(e, 1 << (issuer-1), view[e])
		:: else -> toMember[ownerOf(view[e])]!REPORT(e, 0, view[e])
		fi;
		if
		:: !running[e] && !done[e] -> toMember[ownerOf(view[e])]!ASK(e, 0, view[e])
		:: else
		fi }
	/* requester.answered: use the first grant, give any other back. */
	:: atomic { toEntry[e]?t ->
		if
		:: !running[e] && !done[e] ->
			running[e] = true;
			issuer = t;
			busy++;
			assert(busy <= 2 * LIMIT);
			if
			:: t != view[e] -> toMember[ownerOf(view[e])]!REPORT(e, 1 << (t-1), view[e])
			:: else
			fi
		:: (running[e] || done[e]) && !(running[e] && issuer == t) ->
			toMember[ownerOf(t)]!RELEASE(e, 1 << (t-1), view[e])
		:: else
		fi;
		t = 0 }
	/* requester.release: to the present owner, and to the issuer. */
	:: atomic { running[e] ->
		running[e] = false;
		done[e] = true;
		busy--;
		toMember[ownerOf(view[e])]!RELEASE(e, 1 << (issuer-1), view[e]);
		if
		:: ownerOf(issuer) != ownerOf(view[e]) -> toMember[ownerOf(issuer)]!RELEASE(e, 1 << (issuer-1), view[e])
		:: else
		fi }
	od
}

/* The membership: the owner is taken for dead, or comes back. */
proctype Membership() {
	end: do
	:: atomic { tenure < LAST -> tenure++ }
	:: tenure == LAST -> break
	od
}

#define quiet (done[0] && done[1] && done[2] && empty(toMember[0]) && empty(toMember[1]) && \
	empty(toEntry[0]) && empty(toEntry[1]) && empty(toEntry[2]))
#define settled (view[0] == tenure && view[1] == tenure && view[2] == tenure && knows[ownerOf(tenure)] == tenure)

/* No slot is left in use at the present owner once nothing is under way. */
proctype Quiet() {
	byte m;
	end: atomic { quiet && settled ->
		m = ownerOf(tenure);
		assert(used(m) == 0) }
}

init {
	atomic {
		owning[0] = true;
		run Member(0);
		run Member(1);
		run Membership();
		run Quiet();
		run Entry(0);
		run Entry(1);
		run Entry(2)
	}
}
