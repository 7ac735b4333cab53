/*
 * Model of how a plan is confirmed (core/plan/plan_entry.c) and a configuration
 * is applied (core/node/node_config.c).
 *
 * PLANS operators plan on whichever revision they see, and confirm; each
 * confirmation is one compare-and-swap at the plan's base, retried with the
 * same base when the answer is lost. An abandoned write may be applied much
 * later. The document records its last HISTORY confirmations. A node receives
 * documents late, out of order and more than once.
 *
 * Checked: of the plans on one base at most one takes effect, and none twice;
 * an answer "yes" or "no" is true and stays true; a node never reverts to an
 * older configuration.
 *
 * Each MUTANT_n removes one safeguard; see spec/run.sh.
 */

#define PLANS 3
#define HISTORY 2
#define LOSSES 2
#define SENDS 2 /* writes of one plan */
#define NOBODY 255

mtype = { open, confirming, yes, no };
mtype = { ok, conflict, not_applied, lost };

byte revision = 0;
byte wrote[PLANS + 1] = NOBODY; /* the plan that led to a revision */
byte applied[PLANS] = 0;
bool told_no[PLANS];
byte losses = 0;
byte late[PLANS] = 0; /* abandoned writes that may still be applied */
byte base_of[PLANS];

chan writes = [PLANS] of { byte };
chan answers[PLANS] = [1] of { mtype };

/* Compares the revision with the plan's base and writes if they are equal. */
inline apply(plan, done)
{
	done = false;
	if
#ifdef MUTANT_1 /* the write does not compare */
	:: revision < PLANS ->
#else
	:: revision == base_of[plan] ->
#endif
		revision++;
		wrote[revision] = plan;
		applied[plan]++;
		done = true;
		assert(applied[plan] == 1);
		assert(!told_no[plan]);
		assert(revision == base_of[plan] + 1)
	:: else -> skip
	fi
}

active proctype service()
{
	byte plan;
	bool done;

end:	do
	:: atomic { writes ? plan ->
		if
		:: apply(plan, done);
			if
			:: done -> answers[plan] ! ok
			:: else -> answers[plan] ! conflict
			fi
		:: answers[plan] ! not_applied
		:: losses < LOSSES -> losses++;
			apply(plan, done);
			answers[plan] ! lost
		:: losses < LOSSES -> losses++;
			answers[plan] ! lost
		:: losses < LOSSES -> losses++;
			late[plan]++;
			answers[plan] ! lost
		fi;
		plan = 0;
		done = false }
	:: atomic { late[0] > 0 -> late[0]--; apply(0, done); done = false }
	:: atomic { late[1] > 0 -> late[1]--; apply(1, done); done = false }
	:: atomic { late[2] > 0 -> late[2]--; apply(2, done); done = false }
	od
}

inline tell_yes()
{
	assert(applied[plan] == 1);
	state = yes
}

inline tell_no()
{
	assert(applied[plan] == 0);
	told_no[plan] = true;
	state = no
}

/*
 * The key is no longer at the base. If no answer was lost, neither this write
 * nor an earlier one was applied; otherwise the history in the document decides
 * if it reaches back far enough.
 */
inline settle_conflict()
{
	if
#ifdef MUTANT_2 /* a conflict always means "no" */
	:: true -> tell_no()
#else
	:: !doubt -> tell_no()
	:: doubt && revision == base -> skip
	:: doubt && revision > base && revision <= base + HISTORY ->
		if
		:: wrote[base + 1] == plan -> tell_yes()
		:: else -> tell_no()
		fi
	:: doubt && revision > base + HISTORY ->
#ifdef MUTANT_3 /* a plan older than the history counts as not applied */
		tell_no()
#else
		break /* answered "in doubt" */
#endif
#endif
	fi
}

proctype operator(byte plan)
{
	byte base, sends = 0;
	bool doubt = false;
	mtype state = open, outcome = ok;

	atomic { base = revision; base_of[plan] = base; state = confirming }
	do
	:: state == confirming && sends < SENDS ->
		atomic { writes ! plan; sends++ };
		atomic { answers[plan] ? outcome ->
			if
			:: outcome == ok -> tell_yes()
			:: outcome == conflict -> settle_conflict()
			:: outcome == not_applied -> skip
			:: outcome == lost ->
#ifdef MUTANT_4 /* a lost answer counts as a failure */
				tell_no()
#else
				doubt = true
#endif
#ifdef MUTANT_5 /* a retry uses the newest base */
				;
				base = revision;
				base_of[plan] = base
#endif
			fi;
			outcome = ok }
	:: state == confirming && sends == SENDS -> break /* "in doubt" */
	:: state == yes || state == no -> break
	od
}

/* Any document up to the newest may arrive, from the watch or from a peer. */
active proctype node()
{
	byte got = 0, in_force = 0;

end:	do
	:: atomic { revision > 0 ->
		if
		:: got = 1
		:: revision > 1 -> got = 2
		:: revision > 2 -> got = 3
		fi;
		if
#ifndef MUTANT_6 /* every document that arrives is applied */
		:: got <= in_force -> skip
#endif
		:: else ->
			assert(got >= in_force);
			in_force = got
		fi;
		got = 0 }
	od
}

init
{
	atomic {
		run operator(0);
		run operator(1);
		run operator(2)
	}
}
