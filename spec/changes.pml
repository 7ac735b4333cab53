/*
 * Model of a generation that moves to another engine
 * (core/gateway/evacuation.c, adapters/gateway/exchange_recover.c).
 *
 * One run generates PIECES pieces. Engine 0 runs it; engine 1 may hold a copy
 * of its memory. While engine 0 still works, the gateway may request engine 1
 * to continue after the last piece that the caller has; engine 1 continues, or
 * answers that it has no copy. Either engine may fail or end at any point, with
 * its pieces still in transit or lost; the caller may disconnect.
 *
 * Checked: the caller gets the pieces of one run, each once and in order; an
 * answer is complete only with its last piece; no piece of engine 1 is accepted
 * before engine 0 is released; in the end no engine works on the run, and no
 * connection to an engine is open. Assumed: the messages on one connection
 * arrive in order or not at all, and a closed connection stops its engine.
 *
 * Each MUTANT_n removes one safeguard; spec/run.sh checks that spin then finds
 * an execution that violates a property.
 */

#define PIECES 3
#define NOBODY 2

mtype = { piece, finished, no_copy };

/* From engine to gateway: message type, piece number, run. */
chan sent[2] = [PIECES + 2] of { mtype, byte, byte };
bool closed[2];	 /* the gateway closed the connection */
bool gone[2];	 /* the engine failed or ended */
bool works[2];	 /* the engine runs the generation */
bool asked = false;
byte ask_after = 0;
bool has_copy = false;

byte delivered = 0; /* pieces that the caller has */
byte text = 0;	    /* the run that they belong to; 0: no piece yet */
bool whole = false;
bool broken = false;
bool caller_left = false;

inline make_pieces(self, from, whose)
{
	byte next;

	works[self] = true;
	next = from;
	do
	:: closed[self] -> break
	:: !closed[self] && next < PIECES ->
		atomic {
			sent[self] ! piece, next, whose;
			next = next + 1
		}
	:: !closed[self] && next == PIECES ->
		sent[self] ! finished, 0, whose;
		break
	:: !closed[self] && next < PIECES ->
		gone[self] = true; /* crash, or end after a notice */
		break
	od;
	works[self] = false
}

active proctype first_engine()
{
	make_pieces(0, 0, 1)
}

active proctype other_engine()
{
	if
	:: has_copy = true
	:: has_copy = false
	fi;
	(asked || whole || broken || caller_left);
	if
	:: !asked -> skip
	:: asked && closed[1] -> skip
	:: asked && !closed[1] && has_copy -> make_pieces(1, ask_after, 1)
	:: asked && !closed[1] && !has_copy ->
#ifdef MUTANT_1 /* without a copy it runs the request from the start */
		make_pieces(1, ask_after, 2)
#else
		sent[1] ! no_copy, 0, 0
#endif
	fi
}

inline take(number, whose)
{
	assert(serving == 0 || closed[0]);
	assert(number == delivered);
	assert(text == 0 || text == whose);
	text = whose;
	delivered = delivered + 1
}

inline deliver(number, whose)
{
#ifdef MUTANT_2 /* pieces that the caller has are forwarded again */
	take(number, whose)
#else
	if
	:: number < delivered -> skip
	:: else -> take(number, whose)
	fi
#endif
}

inline end_whole()
{
	assert(delivered == PIECES);
	whole = true;
	closed[0] = true;
	closed[1] = true
}

inline end_broken()
{
	broken = true;
	closed[0] = true;
	closed[1] = true
}

inline let_first_go()
{
	serving = 1;
#ifndef MUTANT_3 /* the first engine is not released */
	closed[0] = true
#endif
}

inline ask()
{
	asked = true;
#ifdef MUTANT_4 /* continues after the received pieces, not the forwarded */
	ask_after = delivered + len(sent[0])
#else
	ask_after = delivered
#endif
}

active proctype gateway()
{
	byte serving = 0;
	byte number, whose;
	bool dropped = false; /* the other engine has no copy */

	do
	:: whole || broken || caller_left -> break

	/* A message of the first engine while it serves the run. */
	:: serving == 0 && !whole && !broken && nempty(sent[0]) ->
		atomic {
			if
			:: sent[0] ? piece, number, whose ->
				deliver(number, whose)
			:: sent[0] ? finished, number, whose ->
				end_whole()
			fi
		}

	/* The first engine has failed or ended, and its messages were read. */
	:: serving == 0 && !whole && !broken && gone[0] && empty(sent[0]) ->
		atomic {
#ifdef MUTANT_5 /* a broken answer is treated as complete */
			end_whole()
#else
			if
			:: asked && !dropped -> let_first_go()
			:: !asked -> ask(); let_first_go()
			:: dropped -> end_broken()
			fi
#endif
		}

	/* Termination notice: the other engine is asked while this one works. */
	:: serving == 0 && !whole && !broken && !asked -> atomic { ask() }

	/* The other engine did not answer in time: the first is released. */
	:: serving == 0 && !whole && !broken && asked && !dropped ->
		atomic { let_first_go() }

	/* A message of the other engine. */
	:: !whole && !broken && !dropped && nempty(sent[1]) ->
		atomic {
			if
			:: sent[1] ? no_copy, number, whose ->
				if
				:: serving == 0 ->
					dropped = true;
					closed[1] = true
				:: serving == 1 -> end_broken()
				fi
			:: sent[1] ? piece, number, whose ->
				if
				:: serving == 0 -> let_first_go()
				:: else -> skip
				fi;
				deliver(number, whose)
			:: sent[1] ? finished, number, whose ->
				end_whole()
			fi
		}
	:: serving == 1 && !whole && !broken && gone[1] && empty(sent[1]) ->
		atomic { end_broken() }

	/* The caller closes its connection. */
	:: !whole && !broken ->
		atomic {
			caller_left = true;
#ifndef MUTANT_6 /* the connection to the other engine stays open */
			closed[1] = true;
#endif
			closed[0] = true
		}
	od
}

/* Once no transition is enabled, no connection is open and no engine works. */
active proctype rest()
{
	(whole || broken || caller_left);
	timeout;
	assert(!works[0] && !works[1]);
	assert(closed[0] && (!asked || closed[1]))
}
