/* How a version of the configuration is accepted and propagated.
 *
 * Two editors race with conditional writes of the head; a third bypasses the tool and writes an
 * unvalidated document. The answer to a write may be lost. Nodes read from the platform with delay
 * (an answer may contain an older version than the newest), receive versions from peers, and
 * restart without state. Partitions and outages are steps that a node does not take, since only
 * safety is checked.
 *
 * Checked: an edit reported as accepted created exactly one version, and an edit reported as
 * refused created none; the version of a node never decreases between restarts; a document that a
 * node applies is the one that the platform accepted under that version number, and it passed the
 * node's validation.
 *
 * BROKEN=1 writes the head without a condition.
 * BROKEN=2 lets a node apply any version that it received last.
 * BROKEN=3 treats a lost answer as a write that did not take effect.
 * BROKEN=4 lets a node apply a document without validation.
 */
#ifndef BROKEN
#define BROKEN 0
#endif

#define NODES 2
#define STEPS 4
#define EDITORS 3
#define UNCHECKED 3
#define VERSIONS 4

#define ACCEPTED 1
#define REFUSED 2

byte head = 0;
byte content[VERSIONS + 1]; /* the editor whose document a version contains */
byte applied[NODES];
byte document[NODES];
byte told[EDITORS + 1];

inline count(editor, versions) {
	versions = 0;
	v = 1;
	do
	:: v <= VERSIONS ->
		if
		:: content[v] == editor -> versions++
		:: else
		fi;
		v++
	:: else -> break
	od;
	v = 0
}

proctype Editor(byte id) {
	byte base, v, made, tries;
	bool wrote;
again:
	base = head;
	atomic {
		if
		:: (head == base || BROKEN == 1) && base < VERSIONS ->
			head = base + 1;
			content[head] = id;
			wrote = true
		:: else -> wrote = false
		fi
	}
	if
	:: wrote -> told[id] = ACCEPTED
	:: !wrote -> told[id] = REFUSED
	:: tries == 0 -> /* the answer is lost */
		tries = 1;
		atomic {
			count(id, made);
			if
			:: made > 0 && BROKEN != 3 -> told[id] = ACCEPTED
			:: else -> goto again
			fi
		}
	fi;
	atomic {
		count(id, made);
		assert(told[id] != ACCEPTED || made == 1);
		assert(told[id] != REFUSED || made == 0)
	}
}

/* take applies a version that a node has received. */
inline take(heard, what) {
	if
	:: (heard > applied[id] || (BROKEN == 2 && heard != applied[id])) && (what != UNCHECKED || BROKEN == 4) ->
		assert(heard > applied[id]);
		applied[id] = heard;
		document[id] = what;
		assert(document[id] != UNCHECKED);
		assert(document[id] == content[heard])
	:: else
	fi
}

proctype Node(byte id) {
	byte steps, version;
	do
	:: steps < STEPS ->
		steps++;
		if
		:: atomic { head > 0 -> /* an answer of the platform, possibly an old version */
				version = 1;
				do
				:: version < head -> version++
				:: break
				od;
				take(version, content[version]);
				version = 0
			}
		:: atomic { /* a message from a peer */
				take(applied[1 - id], document[1 - id])
			}
		:: atomic { /* a restart */
				applied[id] = 0;
				document[id] = 0
			}
		fi
	:: else -> break
	od
}

init {
	byte n;
	atomic {
		n = 1;
		do
		:: n <= EDITORS -> run Editor(n); n++
		:: else -> break
		od;
		n = 0;
		do
		:: n < NODES -> run Node(n); n++
		:: else -> break
		od
	}
}
