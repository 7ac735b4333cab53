#ifndef CORE_MEMBERSHIP_MEMBERSHIP_H
#define CORE_MEMBERSHIP_MEMBERSHIP_H

#include "ports/action.h"
#include "ports/peer_message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Finds nodes and detects their failure with random probes, indirect probes and
 * gossip piggybacked on them (SWIM). A node's own record of itself, with a
 * higher version, overrides the records of others. An incarnation is never
 * reused, so a replaced node under the same address is a different member.
 */
struct membership_options {
	const struct member *self; /* copied */
	const char *const *seeds;  /* peer addresses, NULL-terminated */
	int64_t heartbeat_us;
	int64_t suspect_us;
	uint64_t seed;
};

struct membership;

struct membership *membership_create(const struct membership_options *options);
void membership_destroy(struct membership *membership);

void membership_step(struct membership *membership, int64_t now_us,
		     struct action_list *actions);
int64_t membership_next_due_us(const struct membership *membership);
void membership_receive(struct membership *membership,
			const struct peer_message *message, int64_t now_us,
			struct action_list *actions);
void membership_discover_address(struct membership *membership,
				 const char *address, int64_t now_us,
				 struct action_list *actions);
void membership_set_state(struct membership *membership,
			  enum member_state state);
void membership_set_config_revision(struct membership *membership,
				    int64_t revision);

/* The members that are not dead, including the node itself, by name. */
size_t membership_count(const struct membership *membership);
const struct member *membership_get(const struct membership *membership,
				    size_t i);
const struct member *membership_find(const struct membership *membership,
				     const char *name);
const struct member *membership_self(const struct membership *membership);

/* Rises whenever the set, a state, an incarnation or an address changes. */
uint64_t membership_epoch(const struct membership *membership);

/* When more than half of the known nodes of the region last answered, in us. */
int64_t membership_last_quorum_us(const struct membership *membership);

G_END_DECLS

#endif
