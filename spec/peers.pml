/* How long a node accepts a key based on confirmations by a peer.
 *
 * At any tick, the store confirms to the peer that its version is the newest, or sends it the
 * revocation. The node sends reports to the peer; a report and its answer may each arrive at any
 * later tick, or never. The answer contains the peer's version, the time at which the report was
 * sent, and the lead: the time from the peer's receipt of the report to the store's confirmation of
 * the version, negative if the confirmation came first. The node adds the lead to the time of the
 * report. The node may restart once: times in reports are relative to the start of the sending
 * process, and answers to reports of the previous process are ignored.
 *
 * Checked: no request is executed that was sent more than BOUND ticks after the acknowledgement of
 * the revocation.
 *
 * BROKEN=1 measures the age of the confirmation from the arrival of the answer.
 * BROKEN=2 measures it from the sending of the peer's answer.
 * BROKEN=3 treats the confirmation of any version as one of the node's own version.
 * BROKEN=4 lets the peer read its version before it reads the time of the version's confirmation.
 * BROKEN=5 accepts an answer to a report of the previous process.
 */
#ifndef BROKEN
#define BROKEN 0
#endif

#define END 6
#define BOUND 2

short now = 1;
short revoked = 0;        /* the tick of the acknowledgement; 0 means none */
bool nodeKnows = false;   /* the node has the version without the key */
bool peerKnows = false;
short direct = 1;         /* the tick up to which the store confirmed the peer's version */

short start = 0;          /* the tick at which the node's process started */
bool startedAgain = false;

short report = 0;         /* the tick at which the report in transit was sent; 0 means none */
short reportStart = 0;    /* the start of the process that sent it */
short takenSent = 0;      /* the tick at which the report received by the peer was sent */
short takenAt = 0;        /* the tick at which the peer received it */
short takenStart = 0;

bool answered = false;    /* an answer is in transit */
bool answerVersion;
short answerSent;
short answerStart;
short answerLead;
short answerAt;
short answerAge;

short byPeer = 1;         /* the tick up to which the node considers its version confirmed */

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
		d_step { /* the previous process ends, and the new one reads the store */
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
			takenSent = 0; /* one answer per report keeps the model small */
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
