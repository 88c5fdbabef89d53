/*
 * claim: a call with an Idempotency-Key runs at most once.
 *
 * Two entries get the same key, each at most TRIES times in a row. One platform
 * object holds the record of the key. Any conditional write may be lost before
 * or after it took effect, or reach the platform late, by way of a second
 * writer. An entry may crash at any step (and comes back as a new incarnation),
 * or be paused for as long as it likes: every interleaving is a pause. A record
 * whose holder is taken for dead, rightly or not, turns unknown.
 *
 * README.md names the code of each step. BROKEN picks a wrong protocol:
 *   1  runs before the claim is confirmed (a lost write counts as done)
 *   2  runs a key again whose holder is taken for dead
 *   3  frees the claim of a call that may have run
 *   4  writes without the condition on the version
 *   5  frees whatever record stands, its own or not
 */
#ifndef BROKEN
#define BROKEN 0
#endif
#ifndef TRIES
#define TRIES 2
#endif

#define ENTRIES 2
#define NOBODY 0

mtype = { absent, claimed, finished, unknown };

/* The platform's object. Its version grows with each write. */
mtype state = absent;
byte holder = NOBODY;
byte version = 0;

/* The service's own count of runs. */
byte runs = 0;

/* Request ids: one for each try of each entry, never used again. */
#define ID(entry, try) (1 + (entry) * TRIES + (try))

/* A write that a writer of the platform has under way for a request. */
#define TAKE 1
#define FINISH 2
#define ABANDON 3
#define FREE 4

/* ANY is the version of a step that is read, taken and written at once. */
#define ANY 255

/*
 * apply takes one step on the record as it stands, by the holder's id. It
 * stands for a read and a write on the condition of the version, made again
 * until no other write came in between. Takes are also shown as the two.
 */
inline apply(step, id) {
	if
	:: step == TAKE && state == absent -> state = claimed; holder = id; version++
	:: step == TAKE && state == claimed && holder != id && BROKEN == 2 -> holder = id; version++
	:: step == FINISH && holder == id && (state == claimed || state == unknown) -> state = finished; version++
	:: step == ABANDON && holder == id && state == claimed -> state = unknown; version++
	:: step == FREE && (holder == id || BROKEN == 5) && (state == claimed || state == unknown) -> state = absent; holder = NOBODY; version++
	:: else
	fi
}

/*
 * write is a take that was worked out on the version seen, with the record
 * absent. It has an effect only if that version still stands.
 */
inline write(id, seen) {
	if
	:: version == seen || BROKEN == 4 -> state = claimed; holder = id; version++
	:: else
	fi
}

/*
 * late holds what may still reach the platform at any time: a conditional
 * write that is under way, or, with ANY, a step that a second writer has.
 */
chan late = [2] of { byte, byte, byte };

active proctype Platform() {
	byte step, id, seen;
end:
	do
	:: atomic {
		late ? step, id, seen;
		if
		:: seen == ANY -> apply(step, id)
		:: else -> write(id, seen)
		fi;
		step = 0; id = 0; seen = 0
	}
	od
}

/* Detector takes a holder for dead, whether it is or not, or finds it old. */
active proctype Detector() {
end:
	do
	:: atomic { state == claimed && BROKEN != 2 -> state = unknown; version++ }
	od
}

/* notRun is told to a caller: the key must not have run by then. */
inline tellNotRun() { assert(runs == 0) }

proctype Entry(byte me) {
	byte try = 0;
	byte id, seen;
	bool absentSeen, granted, mayHaveRun;

again:
	do
	:: try == TRIES -> break
	:: try < TRIES ->
		id = ID(me, try);
		try++;
		granted = false;
		mayHaveRun = false;

		/* Take: write, and read back until the answer is known or given up. */
		do
			/* Read: the record is mine, is another's, or absent. */
			:: true ->
				d_step { seen = version; absentSeen = (state == absent); granted = (holder == id && state == claimed) };
				if
				:: granted || !absentSeen -> break
				:: !granted && absentSeen
				fi;
				/* Write on the condition of what was read. */
				if
				/* Answered. A conflict reads again. */
				:: true -> atomic {
					granted = (version == seen || BROKEN == 4);
					write(id, seen)
				}
				/* Lost, with its effect now or never. */
				:: true -> atomic { write(id, seen) }
				:: BROKEN == 1 -> granted = true
				:: BROKEN != 1
				/* Lost, with its effect later. */
				:: nfull(late) -> late ! TAKE, id, seen
				fi;
				seen = 0;
				if
				:: granted -> break
				:: !granted
				fi
			/* A second writer is asked as well; it may be slow. */
			:: nfull(late) -> late ! TAKE, id, ANY
			/* Given up: never run from here on, and given back. */
			:: break
		od;
		seen = 0;
		absentSeen = false;
		/* Crash: the record stays, the next try is another incarnation's. */
		if
		:: goto again
		:: skip
		fi;

		if
		:: granted ->
			/* The attempt. */
			if
			:: d_step { runs++; assert(runs <= 1) }; mayHaveRun = true
			/* Provably not run: no byte was written, or it was refused. */
			:: skip
			/* Cut before it ran; the entry cannot tell. */
			:: mayHaveRun = true
			fi;
			if
			:: goto again
			:: skip
			fi;
			if
			:: !mayHaveRun -> d_step { tellNotRun(); }; atomic { apply(FREE, id) }
			:: mayHaveRun && BROKEN == 3 -> atomic { apply(FREE, id) }
			:: mayHaveRun && BROKEN != 3 ->
				if
				:: runs > 0 -> atomic { apply(FINISH, id) }
				:: true -> atomic { apply(ABANDON, id) }
				/* The end is never stored. */
				:: skip
				fi
			fi
		:: else ->
			/* In use, unknown or finished: told so, and never run. */
			if
			:: true -> atomic { apply(FREE, id) }
			:: nfull(late) -> late ! FREE, id, ANY
			:: skip
			fi
		fi
	od
}

init {
	atomic {
		run Entry(0);
		run Entry(1);
	}
}
