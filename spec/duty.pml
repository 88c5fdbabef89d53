/*
 * duty: the usage of a window is told by one node at a time, and never twice with other
 * counts.
 *
 * Two nodes have counted differently. One object of the store holds what is settled, by
 * whom, and the fencing token. A conditional write may be lost before or after it took
 * effect, or be carried out late, while its condition still holds. A call to the platform
 * may be carried out late as well, behind newer ones; the fence is checked then. A node
 * may start again at any step and knows nothing then. Every interleaving is a pause.
 *
 * README.md names the code of each step. BROKEN picks a wrong protocol:
 *   1  takes a write without an answer for done
 *   2  tells its own counts in place of those that stand settled
 *   3  writes without the condition on the revision
 *   4  claims what stands under the token that it has
 */
#ifndef BROKEN
#define BROKEN 0
#endif
#ifndef ACTS
#define ACTS 2
#endif

#define NODES 2
#define NOTHING 0

/* The store's object: its revision grows with each write. */
byte revision = 0;
byte holder = NOTHING;
byte settled = NOTHING;
byte token = 0;

/* The platform: the newest token seen, who used it, and what was told of the window. */
byte highest = 0;
byte actor = NOTHING;
byte told = NOTHING;

/* Writes and calls that are carried out late. */
chan writes = [2] of { byte, byte, byte, byte };
chan calls = [2] of { byte, byte, byte };

/* write takes effect only if the revision that was read still stands. */
inline write(me, seen, counts, mark) {
	if
	:: revision == seen || BROKEN == 3 -> revision++; holder = me; settled = counts; token = mark
	:: else
	fi
}

/* act is carried out unless a newer token was seen; the counts of a window never differ. */
inline act(me, mark, counts) {
	if
	:: mark < highest
	:: else ->
		assert(mark > highest || actor == NOTHING || actor == me);
		highest = mark;
		actor = me;
		assert(told == NOTHING || told == counts);
		told = counts
	fi
}

active proctype Late() {
	byte me, seen, counts, mark;
end:
	do
	:: atomic { writes ? me, seen, counts, mark; write(me, seen, counts, mark); me = 0; seen = 0; counts = 0; mark = 0 }
	:: atomic { calls ? me, mark, counts; act(me, mark, counts); me = 0; mark = 0; counts = 0 }
	od
}

proctype Node(byte me) {
	byte acts = 0;
	byte seen, counts, mark;
	bool granted;

	do
	:: acts == ACTS -> break
	:: acts < ACTS ->
		acts++;
		granted = false;
		/* Read: what stands settled is told as it is, else what this node counted. */
		atomic {
			seen = revision;
			counts = settled;
			if
			:: counts == NOTHING || BROKEN == 2 -> counts = me
			:: else
			fi;
			mark = (BROKEN == 4 && token > 0 -> token : token + 1)
		};
		/* Write on the condition of what was read. */
		if
		:: atomic { revision == seen || BROKEN == 3 -> write(me, seen, counts, mark); granted = true }
		:: atomic { revision != seen -> skip }
		:: atomic { write(me, seen, counts, mark) } /* The answer is lost. */
		:: atomic { nfull(writes) -> writes ! me, seen, counts, mark }
		:: skip /* The call is lost. */
		fi;
		/* Without an answer only what is read counts. */
		if
		:: !granted && BROKEN == 1 -> granted = true
		:: atomic { !granted && BROKEN != 1 && holder == me && token == mark && settled == counts -> granted = true }
		:: else
		fi;
		/* Act, maybe again, maybe late. */
		do
		:: granted -> atomic { act(me, mark, counts) }
		:: granted -> atomic { nfull(calls) -> calls ! me, mark, counts }
		:: break
		od
	od
}

init {
	atomic { run Node(1); run Node(2) }
}
