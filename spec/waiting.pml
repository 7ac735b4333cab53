/*
 * Model of generations that wait for an engine at their home
 * (adapters/gateway/gateway_waiting.c, docs/design/waiting-room.md).
 *
 * Two nodes have one request each, for one engine that runs one at a time. Node
 * after node learns that another home is the newest one; the old home grants
 * nothing once both know. For a while both homes grant. A message may be lost
 * for good, and a home may restart with empty memory.
 *
 * Checked: a request is answered once, runs at most once, and does not run if
 * it was refused; nothing waits for ever, which would be an invalid end state.
 * Assumed: a request is refused at its latest start only while the engine is
 * busy, as the time until then is longer than all messages take; a node notices
 * a home that lost its request, as the home says nothing about it any more.
 *
 * Each MUTANT_n removes one safeguard; spec/run.sh checks that spin then finds
 * an execution that violates a property.
 */

#define LOSSES 1
#define RESTARTS 1

mtype = { await, withdraw, chosen, unavailable };
mtype = { asking, waiting, sent, over };

chan to_home[2] = [6] of { mtype, byte, byte };	/* node, number */
chan to_node[2] = [6] of { mtype, byte };	/* number */

byte losses = 0;
byte restarts = 0;
byte view[2];		/* the newest home, as each node knows */
bool is_forgotten[2];	/* its home says nothing of its request any more */

bool is_busy = false;	/* the engine */
byte runner;		/* whose request it runs */
byte runs[2];
byte answers[2];
bool is_refused[2];

/* Of each home: the number of each node's request, 0: none waits. */
byte room[4];
byte granted[2];	/* node + 1 whose grant is not taken; 0: none */

inline answer(node)
{
	answers[node]++;
	assert(answers[node] == 1)
}

inline tell_home(home, kind, node, number)
{
	if
	:: to_home[home] ! kind, node, number
	:: losses < LOSSES -> losses++;
		is_forgotten[node] = true
	fi
}

inline tell_node(node, kind, number)
{
	if
	:: to_node[node] ! kind, number
	:: losses < LOSSES -> losses++;
		is_forgotten[node] = true
	fi
}

active proctype engine()
{
end:	do
	:: atomic { is_busy ->
		answer(runner);
		assert(!is_refused[runner]);
		is_busy = false }
	od
}

/* Each node learns of the newest home by itself. */
active proctype membership()
{
	view[0] = 1;
	view[1] = 1
}

proctype home(byte self)
{
	byte node, number;

end:	do
	:: atomic { to_home[self] ? await, node, number ->
		room[self * 2 + node] = number;
		node = 0;
		number = 0 }
	:: atomic { to_home[self] ? withdraw, node, number ->
		if
		:: room[self * 2 + node] == number ->
			room[self * 2 + node] = 0
		:: else -> skip
		fi;
		node = 0;
		number = 0 }
	:: atomic { (self == 1 || view[0] == 0 || view[1] == 0) &&
		    !is_busy && granted[self] == 0 &&
		    (room[self * 2] != 0 || room[self * 2 + 1] != 0) ->
		if
		:: room[self * 2] != 0 -> node = 0
		:: room[self * 2 + 1] != 0 -> node = 1
		fi;
		granted[self] = node + 1;
		number = room[self * 2 + node];
		room[self * 2 + node] = 0;
		tell_node(node, chosen, number);
		node = 0;
		number = 0 }
#ifndef MUTANT_2 /* a grant that nobody takes stays counted */
	:: atomic { granted[self] != 0 -> granted[self] = 0 }
#endif
	:: atomic { is_busy && room[self * 2] != 0 ->
		tell_node(0, unavailable, room[self * 2]);
		room[self * 2] = 0 }
	:: atomic { is_busy && room[self * 2 + 1] != 0 ->
		tell_node(1, unavailable, room[self * 2 + 1]);
		room[self * 2 + 1] = 0 }
	:: atomic { restarts < RESTARTS -> restarts++;
		is_forgotten[0] = is_forgotten[0] || room[self * 2] != 0;
		is_forgotten[1] = is_forgotten[1] || room[self * 2 + 1] != 0;
		room[self * 2] = 0;
		room[self * 2 + 1] = 0;
		granted[self] = 0 }
	od
}

/* The engine takes the request, or refuses it for lack of room. */
inline send_request()
{
	if
	:: granted[0] == self + 1 -> granted[0] = 0
	:: granted[1] == self + 1 -> granted[1] = 0
	:: else -> skip
	fi;
	if
	:: is_busy -> state = asking
	:: !is_busy ->
		runs[self]++;
		assert(runs[self] == 1);
		assert(!is_refused[self]);
		is_busy = true;
		runner = self;
		state = sent
	fi
}

proctype node(byte self)
{
	byte number = 0, last = 0, asked, got;
	mtype state = asking;

	do
	:: atomic { state == asking ->
		last++;
		number = last;
		asked = view[self];
		state = waiting;
		tell_home(asked, await, self, number) }
	:: atomic { to_node[self] ? chosen, got ->
		if
#ifdef MUTANT_1 /* answers to earlier numbers are taken for this one */
		:: state != over ->
#else
		:: number == got && state == waiting ->
#endif
			number = 0;
			send_request()
		:: else -> skip
		fi;
		got = 0 }
	:: atomic { to_node[self] ? unavailable, got ->
		if
#ifdef MUTANT_1
		:: state != over ->
#else
		:: number == got && state == waiting ->
#endif
			number = 0;
			is_refused[self] = true;
			answer(self);
			state = over
		:: else -> skip
		fi;
		got = 0 }
#ifndef MUTANT_3 /* nobody notices a newer home */
	:: atomic { state == waiting && view[self] != asked ->
		tell_home(asked, withdraw, self, number);
		state = asking }
#endif
#ifndef MUTANT_4 /* nobody notices a silent home */
	:: atomic { state == waiting && is_forgotten[self] ->
		is_forgotten[self] = false;
		state = asking }
#endif
	:: atomic { state == sent && answers[self] > 0 -> state = over }
	:: state == over -> break
	od;
end:	do
	:: to_node[self] ? _, _
	od
}

init
{
	atomic {
		run home(0);
		run home(1);
		run node(0);
		run node(1)
	}
}
