#include "daemons/crash_log.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

static const struct {
	int number;
	const char *name;
} faults[] = {
	{SIGSEGV, "SIGSEGV"}, {SIGBUS, "SIGBUS"},   {SIGFPE, "SIGFPE"},
	{SIGILL, "SIGILL"},   {SIGABRT, "SIGABRT"},
};

/* A handler's own stack: after an overflow the process has no other. */
static char handler_stack[16384];

/* Lines of the faults, formatted beforehand, as a handler may not allocate. */
static char lines[G_N_ELEMENTS(faults)][160];

static void on_fault(int number)
{
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		if (faults[i].number != number)
			continue;
		/* The process ends anyway if this fails. */
		if (write(STDOUT_FILENO, lines[i], strlen(lines[i])) < 0)
			break;
	}
	raise(number);
}

/* Installs a handler unless there is one, as a sanitizer's. */
static void install(int number)
{
	struct sigaction action = {.sa_handler = on_fault,
				   .sa_flags = (int)SA_RESETHAND | SA_NODEFER |
					       SA_ONSTACK};
	struct sigaction before;

	if (sigaction(number, NULL, &before) != 0 ||
	    before.sa_handler != SIG_DFL)
		return;
	sigemptyset(&action.sa_mask);
	sigaction(number, &action, NULL);
}

/* Prepares the lines and installs the handlers; to be called once. */
void crash_log_install(const char *node_name)
{
	const stack_t stack = {.ss_sp = handler_stack,
			       .ss_size = sizeof(handler_stack)};

	/* Without it, an overflow of the stack leaves no line. */
	(void)sigaltstack(&stack, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		g_snprintf(lines[i], sizeof(lines[i]),
			   "\nlevel=error node=%s event=crash signal=%s\n",
			   node_name, faults[i].name);
		install(faults[i].number);
	}
}
