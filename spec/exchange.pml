/* Whose answer a node takes for the answer to a send, over connections that it keeps.
 *
 * A node makes SENDS sends, one at a time, each on one of two connections to one address. All but the second have the
 * same id: repeats of one request, or requests of several callers. The upstream runs a send or refuses it, and
 * answers in order with the id, which a refusal may lack. It also writes copies of its earlier answers on the
 * connection, at any time, COPIES in all, with or without the id. A node closes a connection on which something has
 * come before it sends, and skips answers with another id. It believes a refusal without an id on the first exchange of a
 * connection only; else it does not know whether the send ran, and closes the connection.
 *
 * Checked: an answer is taken for the answer to the send that it answers, so that a refusal is never taken for that
 * of a send that runs.
 *
 * BROKEN=1 sends an id again on a connection that has carried it.
 * BROKEN=2 sends an id again on a connection unless it was refused there.
 * BROKEN=3 believes refusals without an id on any exchange, and closes the connection behind them.
 * BROKEN=4 forgets the ids of a connection after two exchanges, and keeps the connection.
 */
#ifndef BROKEN
#define BROKEN 0
#endif

#define SENDS 4
#define COPIES 2
#define NONE 2      /* the id of an answer without one */
#define ID(send) (send == 1 -> 1 : 0)
#define BIT(n) (1 << (n))

chan request[2] = [1] of { byte };
chan wire[2] = [8] of { byte, byte, bool }; /* the send that it answers, its id, whether it is a refusal */

byte carried[2];    /* by connection: the ids that count as carried */
byte exchanges[2];
byte answered[2];   /* by connection: the sends that were answered there, and how */
byte nameless[2];
byte refused[2];
byte copies = 0;

inline reopen(c) {
	d_step {
		do
		:: nempty(wire[c]) -> wire[c]?_,_,_
		:: empty(wire[c]) -> break
		od;
		carried[c] = 0; exchanges[c] = 0; answered[c] = 0; nameless[c] = 0; refused[c] = 0
	}
}

inline write(c, send, bare) {
	wire[c]!send, ((bare || (nameless[c] & BIT(send))) -> NONE : ID(send)), ((refused[c] & BIT(send)) != 0)
}

proctype Upstream(byte c) {
	byte send;
end:	do
	:: request[c]?send ->
		atomic {
			answered[c] = answered[c] | BIT(send);
			if
			:: skip /* it runs */
			:: refused[c] = refused[c] | BIT(send)
			:: refused[c] = refused[c] | BIT(send); nameless[c] = nameless[c] | BIT(send)
			fi;
			write(c, send, false)
		}
	:: atomic { copies < COPIES && answered[c] != 0 ->
			if
			:: answered[c] & BIT(0) -> send = 0
			:: answered[c] & BIT(1) -> send = 1
			:: answered[c] & BIT(2) -> send = 2
			:: answered[c] & BIT(3) -> send = 3
			fi;
			copies++;
			if
			:: write(c, send, false)
			:: write(c, send, true)
			fi
		}
	od
}

active proctype Node() {
	byte send, c, owner, id;
	bool refusal, known;
	run Upstream(0);
	run Upstream(1);
	for (send : 0 .. SENDS - 1) {
		if
		:: c = 0
		:: c = 1
		fi;
		if
		:: nempty(wire[c]) -> reopen(c)
		:: empty(wire[c])
		fi;
		if
		:: BROKEN != 1 && (carried[c] & BIT(ID(send))) -> reopen(c)
		:: else
		fi;
		carried[c] = carried[c] | BIT(ID(send));
		exchanges[c]++;
		request[c]!send;
		do
		:: wire[c]?owner, id, refusal ->
			if
			:: id == ID(send) -> known = true; break
			:: id == NONE && refusal -> known = exchanges[c] == 1 || BROKEN == 3; break
			:: else /* skipped */
			fi
		od;
		assert(!known || owner == send);
		if
		:: !known -> answered[c] & BIT(send); reopen(c) /* what comes later is not read */
		:: known && id == NONE -> reopen(c)
		:: BROKEN == 2 && !refusal -> carried[c] = carried[c] & ~BIT(ID(send))
		:: BROKEN == 4 && exchanges[c] == 2 -> carried[c] = 0
		:: else
		fi
	}
}
