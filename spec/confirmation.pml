/* How long a node accepts a key that may have been revoked.
 *
 * The store acknowledges the revocation at any tick. A node sends a watch, waits, and receives the
 * answer at any tick from the end of its wait, or never again: an outage, a partition and a paused
 * node are steps that are not taken. A watch without a change may have missed changes acknowledged
 * in its last LAG ticks. The wall clock may be set back at any tick; now is the monotonic clock.
 *
 * Checked: no request is executed that was sent more than BOUND ticks after the acknowledgement. A
 * request is evaluated at the tick at which it is sent, or later.
 *
 * BROKEN=1 treats an empty watch as confirmation up to the arrival of its answer.
 * BROKEN=2 treats it as confirmation up to the end of its wait, without subtracting the lag.
 * BROKEN=3 accepts keys for one tick longer than the bound.
 * BROKEN=4 measures the age with the wall clock.
 */
#ifndef BROKEN
#define BROKEN 0
#endif

#define END 14
#define WAIT 4
#define LAG 3
#define BOUND 4

byte now = 1;
byte wall = 1;       /* wall clock; may be behind now */
byte revoked = 0;    /* the tick of the acknowledgement; 0 means none */
byte asked = 0;      /* the tick at which the pending watch was sent; 0 means none */
byte confirmed = 1;  /* the tick up to which the node's configuration is confirmed as newest */
byte confirmedWall = 1;
bool learned = false;

inline confirm(at) {
	if
	:: at > confirmed -> confirmed = at; confirmedWall = wall
	:: else
	fi
}

inline answer() {
	if
	:: revoked > 0 && revoked <= now -> /* the watch returns the change */
		learned = true
	:: revoked == 0 || revoked + LAG > asked + WAIT -> /* no change, or one that the watch missed */
		if
		:: BROKEN == 1 -> confirm(now)
		:: BROKEN == 2 -> confirm(asked + WAIT)
		:: else -> confirm(asked + WAIT - LAG)
		fi
	fi;
	asked = 0
}

inline judge() {
	byte age;
	d_step {
		if
		:: BROKEN == 4 && wall >= confirmedWall -> age = wall - confirmedWall
		:: BROKEN == 4 && wall < confirmedWall -> age = 0
		:: else -> age = now - confirmed
		fi;
		if
		:: !learned && (age < BOUND || (BROKEN == 3 && age <= BOUND + 1)) ->
			assert(revoked == 0 || now <= revoked + BOUND)
		:: else
		fi
	}
}

active proctype world() {
	do
	:: now < END -> now++; wall++
	:: now < END && wall > 3 -> now++; wall = wall - 3
	:: revoked == 0 -> revoked = now
	:: asked == 0 && !learned -> asked = now
	:: asked > 0 && now >= asked + WAIT -> answer()
	:: judge()
	:: now == END -> break
	od
}
