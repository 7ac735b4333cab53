#include "daemons/held_signals.h"

#include <signal.h>

static const int held_signals[] = {SIGTERM, SIGINT, SIGUSR1, SIGHUP};

static void held_signals_mask(int how)
{
	sigset_t set;

	sigemptyset(&set);
	for (gsize i = 0; i < G_N_ELEMENTS(held_signals); i++)
		sigaddset(&set, held_signals[i]);
	sigprocmask(how, &set, NULL);
}

/* Holds signals back until they are released. */
void held_signals_hold(void)
{
	held_signals_mask(SIG_BLOCK);
}

/* Delivers the signals that were held back, and later ones at once. */
void held_signals_release(void)
{
	held_signals_mask(SIG_UNBLOCK);
}
