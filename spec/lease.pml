/*
 * lease: orders to an engine under a lease with fencing.
 *
 * Two members want the lease of one data centre, one object of the platform,
 * and order one engine. Any conditional write may be lost before or after it
 * took effect, or reach the platform late. Clocks are two events of each
 * version of the object: first the lease is over for its holder (over), then
 * for those who watch (free). A member may be paused for as long as it likes:
 * every interleaving is a pause. With PAUSE, one may fall between a holder's
 * last look at its clock and the order's arrival; without, an order that was
 * sent arrives, or fails, well inside the lease.
 *
 * The engine takes no order of an older write of the lease after one of a newer
 * write. One that checks fencing (FENCING=1) never does. One that does not is
 * safe without such a pause, and can be made to do it with one.
 *
 * README.md names the code of each step. BROKEN picks a wrong protocol:
 *   1  the fencing number is the member's own count of its writes
 *   2  writes without the condition on the version
 *   3  takes the lease over before it is over for its holder
 *   4  a lost write counts as done
 */
#ifndef BROKEN
#define BROKEN 0
#endif
#ifndef FENCING
#define FENCING 1
#endif
#ifndef PAUSE
#define PAUSE 1
#endif
#ifndef ROUNDS
#define ROUNDS 3
#endif

#if BROKEN == 1
#define NUMBER count
#else
#define NUMBER held
#endif

#define VERSIONS 8
#define NOBODY 2

/* The platform's object: its version grows with each write. */
byte version = 0;
byte holder = NOBODY;

/* over[v]: the holder's clock says that the lease written as v is over. */
bool over[VERSIONS];
/* free: so say the clocks of those who see the present version. */
bool free = false;

/* The engine: the last fencing number taken, and the write it was sent under. */
byte fence = 0;
byte newest = 0;

/* Writes that are under way: member, version that was read. */
chan late = [1] of { byte, byte };
/* Orders that are under way: fencing number, write they were sent under. */
chan wire = [2] of { byte, byte };

/* write takes effect if the version that was read still stands. */
inline write(member, seen) {
	if
	:: (version == seen || BROKEN == 2) && version < VERSIONS - 1 ->
		version++;
		holder = member;
		free = false
	:: else
	fi
}

/* arrive is an order at the engine. */
inline arrive(number, under) {
	if
	:: FENCING && number < fence
	:: else ->
		assert(under >= newest);
		fence = number;
		newest = under
	fi
}

active proctype Platform() {
	byte member, seen;
end:
	do
	:: atomic { late ? member, seen; write(member, seen); member = 0; seen = 0 }
	od
}

active proctype Engine() {
	byte number, under;
end:
	do
	:: atomic { wire ? number, under; arrive(number, under); number = 0; under = 0 }
	od
}

/* Clocks: a holder counts from before it sent the write, others from after. */
active proctype Clocks() {
	byte v;
end:
	do
	/* Earlier writes were sent earlier: their time is over as well. */
	:: d_step { version > 0 && !over[version] ->
		for (v : 1 .. version) { over[v] = true }
		v = 0
	}
	:: d_step { version > 1 && !over[version - 1] ->
		for (v : 1 .. version - 1) { over[v] = true }
		v = 0
	}
	:: d_step { version > 0 && !free && (over[version] || BROKEN == 3) -> free = true }
	od
}

proctype Member(byte me) {
	byte round = 0;
	byte seen;
	/* held is the member's own write, as it knows it; 0 is none. */
	byte held = 0;
	/* under is the write that gave held, as the platform has it. */
	byte under = 0;
	byte count = 0;
	bool may;

	do
	:: round == ROUNDS -> break
	:: round < ROUNDS ->
		round++;
		/* Read. */
		d_step {
			seen = version;
			may = (version == 0 || holder == me || free);
			if
			:: version > 0 && holder == me -> held = version; under = version
			:: else
			fi
		};
		/* Write, if the lease is mine, free or new. */
		if
		:: may ->
			if
			/* Answered. */
			:: true -> atomic {
				if
				:: (version == seen || BROKEN == 2) && version < VERSIONS - 1 ->
					write(me, seen);
					held = version;
					under = version;
					count++
				:: else -> held = 0
				fi
			}
			/* Lost, with its effect now or never; it is read back. */
			:: true -> atomic { write(me, seen); count++ }
			:: BROKEN == 4 -> held = seen + 1; under = seen; count++
			:: BROKEN != 4
			/* Lost, with its effect later. */
			:: nfull(late) -> late ! me, seen; count++
			fi
		:: else
		fi;
		seen = 0;
		may = false;
		/* Order, by the member's own clock well inside the lease. */
		if
		:: PAUSE && held > 0 && !over[held] ->
			if
			:: nfull(wire) -> wire ! NUMBER, under
			:: skip
			fi
		:: !PAUSE -> atomic {
			if
			:: held > 0 && !over[held] -> arrive(NUMBER, under)
			:: else
			fi
		}
		:: skip
		fi
	od
}

init {
	atomic {
		run Member(0);
		run Member(1)
	}
}
