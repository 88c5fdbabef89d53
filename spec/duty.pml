/*
 * duty: the usage of a window is reported by one node at a time, and never twice with different
 * counts.
 *
 * Two nodes have different counts. One object of the store contains the settled counts, the holder
 * and the fencing token. A conditional write may be lost before or after it takes effect, or be
 * executed late if its condition still holds. A call to the platform may also be executed late,
 * after newer ones; its fencing token is checked at that time. A node may restart at any step and
 * then has no state. Every interleaving represents a pause.
 *
 * README.md lists the code of each step. BROKEN selects an incorrect protocol:
 *   1  treats a write without an answer as done
 *   2  reports its own counts instead of the settled counts
 *   3  writes without the condition on the revision
 *   4  claims the duty with the existing token instead of a new one
 */
#ifndef BROKEN
#define BROKEN 0
#endif
#ifndef ACTS
#define ACTS 2
#endif

#define NODES 2
#define NOTHING 0

/* The store's object. Each write increments its revision. */
byte revision = 0;
byte holder = NOTHING;
byte settled = NOTHING;
byte token = 0;

/* The platform: the highest token received, the node that used it, and the counts reported for the
 * window. */
byte highest = 0;
byte actor = NOTHING;
byte told = NOTHING;

/* Writes and calls that are executed late. */
chan writes = [2] of { byte, byte, byte, byte };
chan calls = [2] of { byte, byte, byte };

/* write takes effect only if the revision that was read is still current. */
inline write(me, seen, counts, mark) {
	if
	:: revision == seen || BROKEN == 3 -> revision++; holder = me; settled = counts; token = mark
	:: else
	fi
}

/* act is executed unless a higher token was received; the counts of a window never differ. */
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
		/* Read: settled counts are reported unchanged; if there are none, this node's own. */
		atomic {
			seen = revision;
			counts = settled;
			if
			:: counts == NOTHING || BROKEN == 2 -> counts = me
			:: else
			fi;
			mark = (BROKEN == 4 && token > 0 -> token : token + 1)
		};
		/* Write on the condition that the revision read is current. */
		if
		:: atomic { revision == seen || BROKEN == 3 -> write(me, seen, counts, mark); granted = true }
		:: atomic { revision != seen -> skip }
		:: atomic { write(me, seen, counts, mark) } /* The answer is lost. */
		:: atomic { nfull(writes) -> writes ! me, seen, counts, mark }
		:: skip /* The call is lost. */
		fi;
		/* Without an answer, only a read can confirm the write. */
		if
		:: !granted && BROKEN == 1 -> granted = true
		:: atomic { !granted && BROKEN != 1 && holder == me && token == mark && settled == counts -> granted = true }
		:: else
		fi;
		/* Act, possibly repeatedly, possibly late. */
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
