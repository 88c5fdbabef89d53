/*
 * claim: a call with an Idempotency-Key is executed at most once.
 *
 * Two entries receive the same key, each up to TRIES times in sequence. One object of the platform
 * contains the record of the key. Any conditional write may be lost before or after it takes
 * effect, or reach the platform late through a second writer. An entry may crash at any step and
 * restart as a new incarnation, or be paused for any time, which every interleaving represents. A
 * record becomes unknown if its holder is suspected to have failed, whether correctly or not.
 *
 * README.md lists the code of each step. BROKEN selects an incorrect protocol:
 *   1  executes the call before the claim is confirmed (treats a lost write as done)
 *   2  executes a call again whose holder is suspected to have failed
 *   3  deletes the claim of a call that may have been executed
 *   4  writes without the condition on the version
 *   5  deletes any existing record, including that of another holder
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

/* The platform's object. Each write increments its version. */
mtype state = absent;
byte holder = NOBODY;
byte version = 0;

/* The number of executions at the service. */
byte runs = 0;

/* Request IDs: unique for each attempt of each entry, never reused. */
#define ID(entry, try) (1 + (entry) * TRIES + (try))

/* The kinds of writes to the record that may be in progress for a request. */
#define TAKE 1
#define FINISH 2
#define ABANDON 3
#define FREE 4

/* ANY as the version marks a step that reads, modifies and writes atomically. */
#define ANY 255

/*
 * apply performs one step on the current record for the holder's ID. It models a read and a
 * conditional write on the version, repeated until no other write intervenes. Takes are also
 * modelled as a separate read and write.
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
 * write is a take that was computed from the version seen, with the record absent. It takes effect
 * only if that version is still current.
 */
inline write(id, seen) {
	if
	:: version == seen || BROKEN == 4 -> state = claimed; holder = id; version++
	:: else
	fi
}

/*
 * late contains operations that may still reach the platform at any time: a conditional write in
 * transit or, with ANY, a step of a second writer.
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

/* Detector suspects a holder, correctly or not, or finds its claim too old. */
active proctype Detector() {
end:
	do
	:: atomic { state == claimed && BROKEN != 2 -> state = unknown; version++ }
	od
}

/* The caller receives notRun: no call with the key may have been executed by then. */
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

		/* Take: write, and read back until the result is known or the claim is given up. */
		do
			/* Read: the record is the entry's own, another's, or absent. */
			:: true ->
				d_step { seen = version; absentSeen = (state == absent); granted = (holder == id && state == claimed) };
				if
				:: granted || !absentSeen -> break
				:: !granted && absentSeen
				fi;
				/* Write on the condition that the version read is current. */
				if
				/* Answered. After a conflict, the record is read again. */
				:: true -> atomic {
					granted = (version == seen || BROKEN == 4);
					write(id, seen)
				}
				/* The answer is lost; the write takes effect now or never. */
				:: true -> atomic { write(id, seen) }
				:: BROKEN == 1 -> granted = true
				:: BROKEN != 1
				/* The answer is lost; the write takes effect later. */
				:: nfull(late) -> late ! TAKE, id, seen
				fi;
				seen = 0;
				if
				:: granted -> break
				:: !granted
				fi
			/* The step is also sent to a second writer, which may be slow. */
			:: nfull(late) -> late ! TAKE, id, ANY
			/* Given up: the call is not executed from here on, and the claim is released. */
			:: break
		od;
		seen = 0;
		absentSeen = false;
		/* Crash: the record remains, and the next attempt is that of a new incarnation. */
		if
		:: goto again
		:: skip
		fi;

		if
		:: granted ->
			/* The attempt. */
			if
			:: d_step { runs++; assert(runs <= 1) }; mayHaveRun = true
			/* Provably not executed: no byte was written, or the service refused the call. */
			:: skip
			/* The connection broke before the execution; the entry cannot know this. */
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
				/* The end of the call is never stored. */
				:: skip
				fi
			fi
		:: else ->
			/* In use, unknown or finished: the caller receives this state, and the call is not
			 * executed. */
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
