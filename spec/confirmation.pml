/* How long a node honours a key that may have been revoked.
 *
 * The store acknowledges the revocation at any tick. A node asks, waits, and is
 * answered at any tick from the end of its wait on, or never again: an outage, a
 * cut, a frozen node are steps that are not taken. A watch without a change may
 * have missed what was acknowledged in its last LAG ticks. The wall clock may be
 * set back at any tick; the steady clock is now.
 *
 * Checked: no request runs that was sent more than BOUND ticks after the
 * acknowledgement; a request is judged at the tick at which it is sent, or later.
 *
 * BROKEN=1 counts an empty watch as confirming up to when its answer came.
 * BROKEN=2 counts it as confirming up to the end of its wait, without the lag.
 * BROKEN=3 honours keys for a tick longer than the bound.
 * BROKEN=4 measures the age by the wall clock.
 */
#ifndef BROKEN
#define BROKEN 0
#endif

#define END 14
#define WAIT 4
#define LAG 3
#define BOUND 4

byte now = 1;
byte wall = 1;       /* may be behind now */
byte revoked = 0;    /* the tick of the acknowledgement; 0 is none */
byte asked = 0;      /* the tick at which the watch under way was sent; 0 is none */
byte confirmed = 1;  /* up to when the node knows the newest configuration */
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
	:: revoked > 0 && revoked <= now -> /* the change is seen */
		learned = true
	:: revoked == 0 || revoked + LAG > asked + WAIT -> /* none, or missed */
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
