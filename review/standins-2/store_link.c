#include "wire.h"

#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * store_link PORT STORE RECORD: passes channels on to the store. At SIGUSR1 it
 * closes those on which a watch waits, once, and no others, as the store may:
 * "A watch that is waiting may be cut."
 */
#define MAX_LINKS 400

static struct link {
	int node; /* -1: free */
	int store;
	bool is_watch; /* the last call was one, and has no answer yet */
} links[MAX_LINKS];

static volatile sig_atomic_t must_cut;

static void on_signal(int number)
{
	(void)number;
	must_cut = 1;
}

static void link_close(struct link *link)
{
	close(link->node);
	close(link->store);
	link->node = -1;
}

static void link_open(int node, const char *store)
{
	for (int i = 0; i < MAX_LINKS; i++) {
		if (links[i].node >= 0)
			continue;
		links[i].node = node;
		links[i].is_watch = false;
		links[i].store = wire_connect(store);
		if (links[i].store < 0) {
			close(node);
			links[i].node = -1;
		}
		return;
	}
	close(node);
}

/* Passes on what there is to read; false if the channel has ended. */
static bool pass(int from, int to, char *bytes, ssize_t *size, size_t room)
{
	*size = recv(from, bytes, room - 1, 0);
	if (*size <= 0)
		return false;
	bytes[*size] = '\0';
	return wire_send(to, bytes, (size_t)*size);
}

static void link_step(struct link *link, bool from_node, bool from_store)
{
	char bytes[65536];
	ssize_t size;

	if (from_node) {
		if (!pass(link->node, link->store, bytes, &size,
			  sizeof(bytes))) {
			link_close(link);
			return;
		}
		link->is_watch = strncmp(bytes, "GET /v1/kv-watch", 16) == 0;
	}
	if (from_store) {
		link->is_watch = false;
		if (!pass(link->store, link->node, bytes, &size, sizeof(bytes)))
			link_close(link);
	}
}

static void cut_watches(void)
{
	int count = 0;

	must_cut = 0;
	for (int i = 0; i < MAX_LINKS; i++) {
		if (links[i].node < 0 || !links[i].is_watch)
			continue;
		link_close(&links[i]);
		count++;
	}
	record("store: %d waiting watches are cut", count);
}

int main(int argc, char **argv)
{
	struct pollfd polls[2 * MAX_LINKS + 1];
	struct link *of[2 * MAX_LINKS + 1];
	int listener;

	if (argc != 4)
		return 2;
	record_open(argv[3]);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGUSR1, on_signal);
	listener = wire_listen(atoi(argv[1]));
	if (listener < 0)
		return 1;
	for (int i = 0; i < MAX_LINKS; i++)
		links[i].node = -1;
	for (;;) {
		nfds_t count = 1;

		polls[0] = (struct pollfd){.fd = listener, .events = POLLIN};
		for (int i = 0; i < MAX_LINKS; i++) {
			if (links[i].node < 0)
				continue;
			of[count] = of[count + 1] = &links[i];
			polls[count++] = (struct pollfd){.fd = links[i].node,
							 .events = POLLIN};
			polls[count++] = (struct pollfd){.fd = links[i].store,
							 .events = POLLIN};
		}
		poll(polls, count, 10);
		if (must_cut) {
			cut_watches();
			continue;
		}
		for (nfds_t i = 1; i < count; i += 2) {
			if (polls[i].revents || polls[i + 1].revents)
				link_step(of[i], polls[i].revents != 0,
					  polls[i].revents == 0);
		}
		if (polls[0].revents)
			link_open(accept(listener, NULL, NULL), argv[2]);
	}
}
