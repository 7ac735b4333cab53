/*
 * How orders reach an engine (core/lease/holder.c, core/rollout/rollout.c).
 *
 * Two nodes want the key that lets its holder give orders; it hangs on a
 * lease. A holder may be paused after it looked at its lease, which then
 * lapses, and act when it wakes: its order is on its way then, and others
 * come before it. The second holder rolls out a newer target than the first.
 * One engine checks the fencing number, the other ignores it.
 *
 * Checked: the engine that checks takes no order of a holder after one of a
 * later holder; when nothing moves any more, both run the newest target.
 *
 * Each MUTANT_n leaves one safeguard out; see spec/run.sh.
 */

#define HOLDS 3 /* times the key is taken */

byte key_holder = 0;	/* 0: free, else node + 1 */
byte holds = 0;		/* how often the key was taken */
byte fence = 0;		/* of the key: rises each time it is created */
byte targets_made = 0;	/* targets confirmed: 1, then 2 */
byte target[2] = 0;	/* engine 0 checks, engine 1 does not */
byte taken = 0;		/* highest number the checking engine has taken */
byte taken_hold = 0;	/* and in truth the latest hold */
chan orders = [2] of { byte, byte, byte, byte }; /* engine, fence, target, hold */

/* A newer target is confirmed while the first is being rolled out. */
active proctype operator()
{
	targets_made = 1;
	targets_made = 2
}

/* The lease lapses at any time, also under a holder that is paused. */
active proctype lease()
{
	byte lapses = 0;

end:	do
	:: atomic { key_holder != 0 && lapses < HOLDS - 1 ->
		lapses++;
		key_holder = 0 }
	od
}

/* Orders arrive late; each may be lost. */
active proctype network()
{
	byte engine, number, wanted, hold;

end:	do
	:: atomic { orders ? engine, number, wanted, hold ->
		if
		:: engine == 0 ->
			if
#ifndef MUTANT_1 /* nobody checks the number */
			:: number < taken -> skip /* refused */
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
	byte given = 0; /* the hold in which it gave its one order */
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
	/* What to order: the newest target, where the engine runs another. */
	:: atomic { my_fence != 0 && HOLDS_KEY && !looked &&
			target[0] != targets_made ->
		engine = 0;
		wanted = targets_made;
		looked = true }
#ifndef MUTANT_3 /* nothing is read back and corrected */
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
	/* Between the two it may have been paused for as long as it likes. */
	:: atomic { looked && nfull(orders) ->
		orders ! engine, my_fence, wanted, my_hold;
		engine = 0;
		wanted = 0;
		looked = false }
	/* It notices that the lease is gone, and may try for the key again. */
	:: atomic { my_fence != 0 && !HOLDS_KEY && !looked ->
		my_fence = 0;
		my_hold = 0 }
	od
}

/* Nothing can move: no order is on its way, the last holder is content. */
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
