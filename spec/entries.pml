/*
 * Model of which entry of an endpoint a node believes (core/gateway/entry_order.c,
 * core/gateway/registry_confirm.c).
 *
 * An engine reports to the store, leaves, ends and starts again under its id.
 * Each write may be done at any later time, in any order; an entry may lapse
 * while the engine lives. One node follows the store from the beginning. The
 * other one starts at any time with the entry that is there, follows it from
 * then on, and is told by the first one of an end that was before. An engine
 * that is asked says truthfully whether it serves.
 *
 * Checked: no node begins to use a start that has left, once it has heard of the
 * end of that start; none is used that was told to have left; the removal of an
 * earlier start's entry ends no other start; when nothing is on its way any more,
 * a node uses the engine if the store has a ready entry of the start that serves.
 *
 * Each MUTANT_n removes one safeguard; spec/run.sh checks that spin then finds
 * an execution that violates a property.
 */

#define STARTS 2
#define WRITES 2	/* on their way at a time */
#define REPORTS 2	/* of a start */

mtype = { none, ready, leaving, gone };
mtype = { report, removal };

typedef Entry { byte start; byte count; bool is_leaving }
typedef Node {
	mtype state;
	byte start;
	byte count;
	bool is_asked;		/* an entry awaits the engine's word */
	byte asked_start;
	bool is_overwritten;	/* by an entry of an earlier start */
	bool heard_end[STARTS + 1];
	bool knows_left[STARTS + 1];
}

Entry write[WRITES];
bool is_written[WRITES];
Entry stored;
bool is_stored;
Node node[2];
bool has_started;	/* the second node */
chan events0 = [2] of { mtype, byte, byte, bool };
chan events1 = [2] of { mtype, byte, byte, bool };

byte start = 1, count = 0;
bool has_left[STARTS + 1];
bool has_lapsed, is_told;

inline tell(kind, s, c, l)
{
	events0 ! kind, s, c, l;
	if
	:: has_started -> events1 ! kind, s, c, l
	:: else
	fi
}

inline use(n, s)
{
	assert(!(has_left[s] && node[n].heard_end[s]));
	node[n].state = ready;
	node[n].start = s;
	node[n].is_asked = false
}

inline ask(n, s)
{
	node[n].is_asked = true;
	node[n].asked_start = s;
	node[n].is_overwritten = false
}

inline receive_ready(n, s, c)
{
	if
#ifndef MUTANT_1
	:: s < node[n].start -> node[n].is_overwritten = true
#endif
	:: s > node[n].start -> use(n, s);
		node[n].count = c;
		node[n].is_overwritten = false
#ifdef MUTANT_1
	:: s < node[n].start -> use(n, s)
#endif
	:: s == node[n].start && node[n].state == ready ->
		node[n].is_overwritten = false;
		if
		:: c > node[n].count -> node[n].count = c
		:: else
		fi
#ifndef MUTANT_2
	:: s == node[n].start && node[n].state == leaving -> ask(n, s)
#else
	:: s == node[n].start && node[n].state == leaving -> use(n, s)
#endif
	:: s == node[n].start && node[n].state == gone ->
#ifdef MUTANT_3
		use(n, s)
#else
#ifdef MUTANT_4
		if
		:: c > node[n].count -> use(n, s)
		:: else -> ask(n, s)
		fi
#else
		ask(n, s)
#endif
#endif
	fi
}

inline receive_leaving(n, s, c)
{
	node[n].heard_end[s] = true;
	node[n].knows_left[s] = true;
	if
	:: s < node[n].start -> node[n].is_overwritten = true
	:: else -> node[n].state = leaving;
		node[n].start = s;
		node[n].is_asked = false;
		node[n].is_overwritten = false
	fi
}

/* s is the start whose entry it was, which nobody tells the node. */
inline receive_removal(n, s)
{
	node[n].is_asked = false;
	if
#ifndef MUTANT_5
	:: node[n].is_overwritten && node[n].state == ready ->
		/* In doubt: the engine itself is asked. */
		node[n].is_overwritten = false;
		if
		:: !has_left[node[n].start]
		:: else -> node[n].state = gone;
			node[n].heard_end[node[n].start] = true
		fi
#endif
	:: else -> node[n].is_overwritten = false;
		assert(!(node[n].state == ready && s < node[n].start &&
			 !has_left[node[n].start]));
		if
		:: node[n].state != none -> node[n].state = gone;
			node[n].heard_end[node[n].start] = true
		:: else
		fi
	fi
}

inline receive(n, kind, s, c, l)
{
	if
	:: kind == removal -> receive_removal(n, s)
	:: kind == report && l -> receive_leaving(n, s, c)
	:: kind == report && !l -> receive_ready(n, s, c)
	fi
}

inline answer(n)
{
	s = node[n].asked_start;
	if
	:: has_left[s] -> node[n].is_asked = false
	:: else -> use(n, s)
	fi
}

/* The engine: its reports, its word, its next start. */
active proctype engine()
{
	byte i;

end:	do
	:: atomic {
		!has_left[start] && count < REPORTS ->
		count++;
		i = 0;
		do
		:: i < WRITES && is_written[i] -> i++
		:: else -> break
		od;
		if
		:: i < WRITES ->
			is_written[i] = true;
			write[i].start = start;
			write[i].count = count;
			write[i].is_leaving = false;
			if
			:: write[i].is_leaving = true;
				has_left[start] = true
			:: skip
			fi
		:: else
		fi }
	:: atomic { !has_left[start] && count > 0 -> has_left[start] = true }
	:: atomic {
		has_left[start] && start < STARTS ->
		start++;
		count = 0 }
	od
}

/* The store does what is on its way, and removes entries. */
active proctype store()
{
	byte i, s, c;
	bool l;

end:	do
	:: atomic {
		nfull(events0) && nfull(events1) &&
		(is_written[0] || is_written[1]) ->
		if
		:: is_written[0] -> i = 0
		:: is_written[1] -> i = 1
		fi;
		is_written[i] = false;
		stored.start = write[i].start;
		stored.count = write[i].count;
		stored.is_leaving = write[i].is_leaving;
		is_stored = true;
		s = stored.start;
		c = stored.count;
		l = stored.is_leaving;
		tell(report, s, c, l) }
	:: atomic {
		is_stored && nfull(events0) && nfull(events1) &&
		(has_left[stored.start] || !has_lapsed) ->
		if
		:: !has_left[stored.start] -> has_lapsed = true
		:: else
		fi;
		is_stored = false;
		s = stored.start;
		tell(removal, s, 0, false) }
	od
}

active proctype first()
{
	mtype kind;
	byte s, c;
	bool l;

	atomic { node[0].state = none };
end:	do
	:: atomic { events0 ? kind, s, c, l -> receive(0, kind, s, c, l) }
	:: atomic { node[0].is_asked -> answer(0) }
	od
}

#define is_to_be_told (has_started && !is_told && \
	node[0].start == node[1].start && node[1].state == ready && \
	(node[0].state == gone || node[0].state == leaving))

active proctype second()
{
	mtype kind;
	byte s, c;
	bool l;

	atomic { node[1].state = none };
end:	do
	:: atomic {
		!has_started -> has_started = true;
		if
		:: is_stored ->
			s = stored.start;
			c = stored.count;
			l = stored.is_leaving;
			receive(1, report, s, c, l)
		:: else
		fi }
	:: atomic { events1 ? kind, s, c, l -> receive(1, kind, s, c, l) }
	:: atomic { node[1].is_asked -> answer(1) }
	/* The first node tells of an end of this start that it has seen. */
	:: atomic {
		is_to_be_told && empty(events0) ->
		is_told = true;
		node[1].heard_end[node[1].start] = true;
		node[1].knows_left[node[1].start] = has_left[node[1].start];
#ifndef MUTANT_6
		/* The engine is asked. */
		if
		:: has_left[node[1].start] -> node[1].state = leaving
		:: else
		fi
#endif
	}
	od
}

#define is_quiet (!is_written[0] && !is_written[1] && empty(events0) && \
	empty(events1) && !node[0].is_asked && !node[1].is_asked && \
	!is_to_be_told)

/* When nothing is on its way, the nodes know what the store has. */
active proctype observer()
{
	byte i;

end:	do
	:: atomic {
		is_quiet ->
		for (i : 0 .. 1) {
			assert(!(is_stored && !stored.is_leaving &&
				 stored.start == start && !has_left[start] &&
				 (i == 0 || has_started) &&
				 node[i].state != ready));
			assert(!(node[i].state == ready &&
				 node[i].knows_left[node[i].start]))
		}
		i = 0 }
	od
}
