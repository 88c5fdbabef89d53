/* How long a node honours a key on the word of a peer.
 *
 * The store confirms to the peer, at any tick, that its version is the newest, or
 * tells it of the revocation. The node sends the peer a report; either message may
 * arrive at any later tick, or never. The peer answers with its version, when the
 * report that it has was sent, and how long after it took that in the store
 * confirmed the version (lead; negative when before). The node adds that up. It may
 * start again, once: reports tell their times by the start of the process that sent
 * them, and an answer to one of the process before counts for nothing.
 *
 * Checked: no request runs that was sent more than BOUND ticks after the
 * revocation was acknowledged.
 *
 * BROKEN=1 counts the age of the confirmation from when the answer arrives.
 * BROKEN=2 counts from when the peer's answer was sent.
 * BROKEN=3 takes the confirmation of any version for that of its own.
 * BROKEN=4 has the peer read its version before it reads how late that is confirmed.
 * BROKEN=5 counts an answer to a report of the process before.
 */
#ifndef BROKEN
#define BROKEN 0
#endif

#define END 6
#define BOUND 2

short now = 1;
short revoked = 0;        /* the tick of the acknowledgement; 0 is none */
bool nodeKnows = false;   /* the node has the version without the key */
bool peerKnows = false;
short direct = 1;         /* up to when the store confirmed the peer's version */

short start = 0;          /* when the node's process started */
bool startedAgain = false;

short report = 0;         /* when the report under way was sent; 0 is none */
short reportStart = 0;    /* the start of the process that sent it */
short takenSent = 0;      /* when the report that the peer has was sent */
short takenAt = 0;        /* when it was taken in */
short takenStart = 0;

bool answered = false;    /* an answer is under way */
bool answerVersion;
short answerSent;
short answerStart;
short answerLead;
short answerAt;
short answerAge;

short byPeer = 1;         /* up to when the node counts its version confirmed */

short at;

inline learn() {
	d_step {
		at = start + (answerSent - answerStart) + answerLead;
		if
		:: BROKEN == 1 -> at = now - answerAge
		:: BROKEN == 2 -> at = answerAt
		:: else
		fi;
		if
		:: (answerVersion == nodeKnows || BROKEN == 3) && (answerStart == start || BROKEN == 5) && at > byPeer -> byPeer = at
		:: else
		fi;
		at = 0;
		answered = false;
		answerSent = 0;
		answerStart = 0;
		answerLead = 0;
		answerAt = 0;
		answerAge = 0
	}
}

active proctype world() {
	do
	:: now < END -> now++
	:: revoked == 0 -> revoked = now
	:: !peerKnows && revoked == 0 -> direct = now
	:: revoked > 0 && !peerKnows -> peerKnows = true; direct = now
	:: peerKnows -> direct = now
	:: revoked > 0 && !nodeKnows -> nodeKnows = true
	:: report == 0 -> d_step { report = now; reportStart = start }
	:: report > 0 -> d_step { takenSent = report; takenAt = now; takenStart = reportStart; report = 0; reportStart = 0 }
	:: !startedAgain && now > 1 ->
		d_step { /* the process before ends, and this one reads the store */
			startedAgain = true;
			start = now;
			nodeKnows = revoked > 0;
			byPeer = now
		}
	:: takenSent > 0 && !answered ->
		d_step {
			answered = true;
			if
			:: BROKEN == 4 -> answerVersion = false
			:: else -> answerVersion = peerKnows
			fi;
			answerSent = takenSent;
			answerStart = takenStart;
			answerLead = direct - takenAt;
			takenSent = 0; /* one answer a report keeps the model small */
			takenAt = 0;
			takenStart = 0;
			if
			:: BROKEN == 1 -> answerAge = now - direct
			:: BROKEN == 2 -> answerAt = now
			:: else
			fi
		}
	:: answered -> learn()
	:: !nodeKnows && now - byPeer < BOUND ->
		assert(revoked == 0 || now <= revoked + BOUND)
	:: now == END -> break
	od
}
