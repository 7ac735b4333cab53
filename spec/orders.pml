/*
 * Model of how orders reach an engine (core/lease/holder.c,
 * core/rollout/rollout.c).
 *
 * Two nodes compete for the key whose holder may send orders; the key is bound
 * to a lease. A holder may be paused after it checked its lease, which then
 * expires, and send its order after it resumes, so that the orders of a later
 * holder arrive first. The second holder rolls out a newer target than the
 * first. One engine checks the fencing number, the other ignores it.
 *
 * Checked: the engine that checks accepts no order of a holder after one of a
 * later holder; once no transition is enabled, both run the newest target.
 *
 * Each MUTANT_n removes one safeguard; see spec/run.sh.
 */

#define HOLDS 3 /* times the key is acquired */

byte key_holder = 0;	/* 0: free, else node + 1 */
byte holds = 0;		/* times the key was acquired so far */
byte fence = 0;		/* fencing number: rises each time the key is created */
byte targets_made = 0;	/* targets confirmed: 1, then 2 */
byte target[2] = 0;	/* engine 0 checks, engine 1 does not */
byte taken = 0;		/* highest number that the checking engine accepted */
byte taken_hold = 0;	/* latest hold whose order it accepted */
chan orders = [2] of { byte, byte, byte, byte }; /* engine, fence, target, hold */

/* A newer target is confirmed while the first is being rolled out. */
active proctype operator()
{
	targets_made = 1;
	targets_made = 2
}

/* The lease may expire at any time, also while its holder is paused. */
active proctype lease()
{
	byte lapses = 0;

end:	do
	:: atomic { key_holder != 0 && lapses < HOLDS - 1 ->
		lapses++;
		key_holder = 0 }
	od
}

/* Orders may be delayed or lost. */
active proctype network()
{
	byte engine, number, wanted, hold;

end:	do
	:: atomic { orders ? engine, number, wanted, hold ->
		if
		:: engine == 0 ->
			if
#ifndef MUTANT_1 /* the engine does not check the number */
			:: number < taken -> skip /* rejected */
#endif
			:: else ->
				assert(hold >= taken_hold);
				taken = number;
				taken_hold = hold;
				target[0] = wanted
			fi
		:: engine == 1 -> target[1] = wanted
		:: skip /* lost */
		fi;
		engine = 0;
		number = 0;
		wanted = 0;
		hold = 0 }
	od
}

#define HOLDS_KEY (key_holder == me + 1 && holds == my_hold)

proctype node(byte me)
{
	byte my_fence = 0, my_hold = 0, wanted = 0, engine = 0;
	byte given = 0; /* the hold in which it sent its only order */
	bool looked = false;

end:	do
	:: atomic { key_holder == 0 && my_fence == 0 && targets_made > 0 &&
			holds < HOLDS ->
		key_holder = me + 1;
		holds++;
		my_hold = holds;
#ifndef MUTANT_2 /* the number does not rise with each holder */
		fence++;
#else
		fence = 1;
#endif
		my_fence = fence }
	/* Orders the newest target if the engine runs another one. */
	:: atomic { my_fence != 0 && HOLDS_KEY && !looked &&
			target[0] != targets_made ->
		engine = 0;
		wanted = targets_made;
		looked = true }
#ifndef MUTANT_3 /* the engine's target is not read back and corrected */
	:: atomic { my_fence != 0 && HOLDS_KEY && !looked &&
			target[1] != targets_made ->
#else
	:: atomic { my_fence != 0 && HOLDS_KEY && !looked &&
			target[1] != targets_made && given < my_hold ->
		given = my_hold;
#endif
		engine = 1;
		wanted = targets_made;
		looked = true }
	/* The pause between check and send has no upper bound. */
	:: atomic { looked && nfull(orders) ->
		orders ! engine, my_fence, wanted, my_hold;
		engine = 0;
		wanted = 0;
		looked = false }
	/* It detects that the lease expired, and may acquire the key again. */
	:: atomic { my_fence != 0 && !HOLDS_KEY && !looked ->
		my_fence = 0;
		my_hold = 0 }
	od
}

/* No order is in transit, and the last holder has no order to send. */
active proctype end_state()
{
	timeout ->
	assert(target[0] == 2 && target[1] == 2)
}

init
{
	atomic {
		run node(0);
		run node(1)
	}
}
