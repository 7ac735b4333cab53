/*
 * Model of how a non-idempotent request runs at most once (core/node/node_id.c,
 * node_claim.c).
 *
 * One request id, sent up to SENDS times to either of two nodes. The id is
 * either issued (it names node 0 and its first incarnation: only that process
 * may send it to an endpoint) or plain (a node claims it in the key-value
 * service first). A node may be paused at any point, which the interleaving of
 * processes covers, or be replaced by a new incarnation at the same address
 * with empty memory. Answers of the service and of endpoints may be lost; a
 * write whose answer was lost may still be applied much later.
 *
 * Checked: the endpoint runs the request at most once, and a request answered
 * "not run" did not run. Assumed: a claim outlives the callers' retries.
 *
 * Each MUTANT_n removes one safeguard; spec/run.sh checks that spin then finds
 * an execution that violates a property.
 */

#define SENDS 3
#define INCARNATIONS 2 /* of each node: one replacement */
#define LOSSES 2       /* answers of the service that are lost */

mtype = { issued, plain };
mtype = { none, not_run, pending, running, whole, unknown };
mtype = { idle, claiming, reading, sent };
mtype = { ok, conflict, not_found, not_applied, lost };

mtype kind;
byte runs = 0;		    /* by endpoints */
bool dispatched[SENDS];	    /* this send may have reached an endpoint */
bool expired = false;	    /* the retention time of outcomes has passed */
byte losses = 0;

/* Holder of the claim; claim_incarnation 0: unclaimed. */
byte claim_node = 0;
byte claim_incarnation = 0;
byte claim_nonce = 0;

/* A write whose answer was lost and that may still be applied. */
bool late = false;
byte late_node, late_incarnation, late_nonce;

chan calls[2] = [SENDS] of { byte, bool };	   /* send, forwarded */
chan puts = [4] of { byte, byte, byte };	   /* node, incarnation, nonce */
chan gets = [4] of { byte, byte };
/* incarnation of the requester, outcome, claim: node, incarnation, nonce */
chan put_answers[2] = [4] of { byte, mtype, byte, byte, byte };
chan get_answers[2] = [4] of { byte, mtype, byte, byte, byte };
chan work = [SENDS + 1] of { byte, byte, byte };   /* node, incarnation, send */
chan results[2] = [SENDS + 1] of { byte, mtype };

inline apply(node, incarnation, nonce)
{
#ifdef MUTANT_3 /* the write does not require that the key is absent */
	claim_node = node;
	claim_incarnation = incarnation;
	claim_nonce = nonce;
#else
	if
	:: claim_incarnation == 0 ->
		claim_node = node;
		claim_incarnation = incarnation;
		claim_nonce = nonce
	:: else -> skip
	fi
#endif
}

active proctype service()
{
	byte node, incarnation, nonce;

end:	do
	:: atomic { puts ? node, incarnation, nonce ->
		if
		:: claim_incarnation == 0 ->
			apply(node, incarnation, nonce);
			put_answers[node] ! incarnation, ok, 0, 0, 0
		:: claim_incarnation != 0 ->
#ifdef MUTANT_3
			apply(node, incarnation, nonce);
			put_answers[node] ! incarnation, ok, 0, 0, 0
#else
			put_answers[node] ! incarnation, conflict, claim_node,
				claim_incarnation, claim_nonce
#endif
		:: put_answers[node] ! incarnation, not_applied, 0, 0, 0
		:: losses < LOSSES -> losses++;
			apply(node, incarnation, nonce);
			put_answers[node] ! incarnation, lost, 0, 0, 0
		:: losses < LOSSES -> losses++;
			put_answers[node] ! incarnation, lost, 0, 0, 0
		:: losses < LOSSES && !late -> losses++;
			late = true;
			late_node = node;
			late_incarnation = incarnation;
			late_nonce = nonce;
			put_answers[node] ! incarnation, lost, 0, 0, 0
		fi;
		node = 0;
		incarnation = 0;
		nonce = 0 }
	:: atomic { late ->
		apply(late_node, late_incarnation, late_nonce);
		late = false;
		late_node = 0;
		late_incarnation = 0;
		late_nonce = 0 }
	:: atomic { gets ? node, incarnation ->
		if
		:: claim_incarnation == 0 ->
			get_answers[node] ! incarnation, not_found, 0, 0, 0
		:: claim_incarnation != 0 ->
			get_answers[node] ! incarnation, ok, claim_node,
				claim_incarnation, claim_nonce
		:: losses < LOSSES -> losses++;
			get_answers[node] ! incarnation, lost, 0, 0, 0
		fi;
		node = 0;
		incarnation = 0 }
	od
}

active proctype endpoint()
{
	byte node, incarnation, send;

end:	do
	:: atomic { work ? node, incarnation, send ->
		runs++;
		assert(runs <= 1);
		if
		:: results[node] ! incarnation, ok
		:: results[node] ! incarnation, lost
		fi;
		node = 0;
		incarnation = 0;
		send = 0 }
	od
}

active proctype clock()
{
	expired = true
}

active proctype caller()
{
	byte send = 0;

	if
	:: kind = issued
	:: kind = plain
	fi;
end:	do
	:: send < SENDS ->
		if
		:: calls[0] ! send, false
		:: calls[1] ! send, false
		fi;
		send++
	:: break
	od
}

inline tell_not_run()
{
	assert(!dispatched[current])
}

/* Sends the request to an endpoint, or fails before anything was sent. */
inline dispatch()
{
#ifndef MUTANT_5 /* the dispatch is not recorded */
	state = running;
#else
	state = not_run;
#endif
	if
	:: dispatched[current] = true;
		work ! me, incarnation, current;
		phase = sent
	:: state = not_run; /* could not connect */
		phase = idle;
		tell_not_run()
	fi
}

/* Forwards to the issuer or the claim holder, which may have stopped. */
inline forward(send, was_forwarded, to)
{
	if
	:: !was_forwarded -> calls[to] ! send, true
	:: true -> skip /* answered "unknown" */
	fi
}

inline take_claim(holder, holder_incarnation, holder_nonce)
{
	if
	:: holder == me && holder_incarnation == incarnation &&
	   holder_nonce == nonce ->
		claimed = true;
		dispatch()
	:: else ->
#ifdef MUTANT_6 /* the node's own claims are not distinguished by nonce */
		if
		:: holder == me && holder_incarnation == incarnation ->
			claimed = true;
			dispatch()
		:: else ->
			state = not_run;
			phase = idle;
			forward(current, forwarded, holder)
		fi
#else
		state = not_run;
		phase = idle;
		if
		:: holder == me && holder_incarnation == incarnation ->
			skip /* outcome expired: answered "unknown" */
		:: else -> forward(current, forwarded, holder)
		fi
#endif
	fi
}

inline enter()
{
	current = got;
	forwarded = got_forwarded;
	if
	:: state == none ->
		nonces++;
		nonce = nonces;
		claimed = false;
		state = pending
	:: state == not_run -> state = pending
	:: else -> skip
	fi
}

inline receive_issued()
{
	if
	:: me != 0 ->
#ifdef MUTANT_2 /* another node runs it when the issuer seems to have failed */
		if
		:: forward(got, got_forwarded, 0)
		:: state == none -> enter(); dispatch()
		fi
#else
		forward(got, got_forwarded, 0)
#endif
#ifndef MUTANT_1 /* a new incarnation accepts ids issued by the previous one */
	:: me == 0 && incarnation != 1 -> skip /* unknown */
#endif
#ifndef MUTANT_4 /* an id is still accepted after its outcome expired */
	:: me == 0 && expired -> skip /* unknown */
#endif
	:: else ->
		if
		:: state == none || state == not_run -> enter(); dispatch()
		:: else -> skip /* joins, is replayed, or answered "unknown" */
		fi
	fi
}

inline receive_plain()
{
	if
	:: state == none || state == not_run ->
		enter();
		if
		:: claimed -> dispatch()
		:: else ->
			phase = claiming;
			puts ! me, incarnation, nonce
		fi
	:: else -> skip
	fi
}

/* Resets variables that no later event reads, to merge equivalent states. */
inline rest()
{
	got = 0;
	got_forwarded = false;
	asked = 0;
	holder = 0;
	holder_incarnation = 0;
	holder_nonce = 0;
	outcome = none;
	if
	:: phase == idle -> current = 0; forwarded = false
	:: else -> skip
	fi
}

proctype node(byte me)
{
	byte incarnation = 1;
	mtype state = none;
	mtype phase = idle;
	bool claimed = false;
	bool forwarded = false;
	byte nonce = 0, nonces = 0;
	byte current = 0, asked; /* current: the send in progress */
	byte got;
	bool got_forwarded;
	byte holder, holder_incarnation, holder_nonce;
	mtype outcome = none;

end:	do
	:: atomic { calls[me] ? got, got_forwarded ->
		if
		:: kind == issued -> receive_issued()
		:: else -> receive_plain()
		fi;
		rest() }
	:: atomic { put_answers[me] ? asked, outcome, holder,
			holder_incarnation, holder_nonce ->
		if
		:: asked != incarnation || phase != claiming -> skip
		:: else ->
			if
			:: outcome == ok -> claimed = true; dispatch()
			:: outcome == conflict ->
				take_claim(holder, holder_incarnation,
					   holder_nonce)
			:: outcome == not_applied ->
				state = not_run;
				phase = idle;
				tell_not_run()
			:: outcome == lost ->
#ifdef MUTANT_7 /* a lost answer counts as success */
				claimed = true;
				dispatch()
#else
				phase = reading;
				gets ! me, incarnation
#endif
			fi
		fi;
		rest() }
	:: atomic { get_answers[me] ? asked, outcome, holder,
			holder_incarnation, holder_nonce ->
		if
		:: asked != incarnation || phase != reading -> skip
		:: else ->
			if
			:: outcome == ok ->
				take_claim(holder, holder_incarnation,
					   holder_nonce)
			:: else ->
				state = not_run;
				phase = idle;
				tell_not_run()
			fi
		fi;
		rest() }
	:: atomic { results[me] ? asked, outcome ->
		if
		:: asked != incarnation || phase != sent -> skip
		:: else ->
			phase = idle;
			if
			:: outcome == ok -> state = whole
			:: else ->
#ifdef MUTANT_8 /* an endpoint that did not answer counts as not run */
				state = not_run;
				tell_not_run()
#else
				state = unknown
#endif
			fi
		fi;
		rest() }
	/* The outcome expires; the id is then unknown to the node. */
	:: atomic { expired && phase == idle && state != none &&
			state != pending ->
		state = none;
		claimed = false;
		nonce = 0 }
	/* Replaced by a process at the same address with empty memory. */
	:: atomic { incarnation < INCARNATIONS ->
		incarnation++;
		state = none;
		phase = idle;
		claimed = false;
		nonce = 0;
		nonces = 0;
		rest() }
	od
}

init
{
	atomic {
		run node(0);
		run node(1)
	}
}
